"""Event loops of tests, with the same clock as those of the programs."""

import asyncio

from linnetwood.core.loops import SuspendableLoop


class _Policy(asyncio.DefaultEventLoopPolicy):
    """Create the loop of the programs for tests."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new loop."""
        return SuspendableLoop()


def use_loops_of_programs() -> None:
    """Run all tests on the loop of the programs."""
    asyncio.set_event_loop_policy(_Policy())


async def close_server(server: asyncio.Server) -> None:
    """Close a server after the connections that it accepted are set up.

    If it is closed in the step in which it accepts a connection, nothing owns
    that connection, and the loop logs a warning.
    """
    loop = asyncio.get_running_loop()
    for sock in server.sockets:
        loop.remove_reader(sock.fileno())
    await asyncio.sleep(0)
    server.close()
