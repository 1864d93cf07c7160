"""The loops of tests, which tell the time that the programs' loops tell."""

import asyncio

from linnetwood.core.loops import SuspendableLoop


class _Policy(asyncio.DefaultEventLoopPolicy):
    """Give tests the loop of the programs."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Give a loop."""
        return SuspendableLoop()


def use_loops_of_programs() -> None:
    """Let all tests run on the loop of the programs."""
    asyncio.set_event_loop_policy(_Policy())


async def close_server(server: asyncio.Server) -> None:
    """Close a stand-in once the connections that it accepted belong to it.

    One that is closed in the step in which it accepts leaves a connection that
    nobody owns, and the loop says so.
    """
    loop = asyncio.get_running_loop()
    for sock in server.sockets:
        loop.remove_reader(sock.fileno())
    await asyncio.sleep(0)
    server.close()
