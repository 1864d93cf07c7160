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
