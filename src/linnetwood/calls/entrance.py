"""Decide at the door whether a call can be in time; refuse at once if not."""

from linnetwood.calls.choice import Chooser
from linnetwood.calls.direct import DirectCall, DirectDispatcher
from linnetwood.core.clock import Clock
from linnetwood.core.outcomes import Ending


class Entrance:
    """Admit the calls that can be answered in time."""

    def __init__(
        self,
        chooser: Chooser,
        dispatcher: DirectDispatcher,
        clock: Clock,
    ) -> None:
        """Predict by the chooser's view."""
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._clock = clock

    async def __call__(self, call: DirectCall) -> Ending | None:
        """Admit everything for now."""
        return None
