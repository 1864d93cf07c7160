"""The path of a call at an entry, with each decision as the settings say."""

from random import Random

from linnetwood.calls.choice import Chooser
from linnetwood.calls.direct import DirectDispatcher
from linnetwood.calls.directory import Directory
from linnetwood.calls.entrance import Entrance
from linnetwood.calls.policy.firsttries import FIRST_TRIES
from linnetwood.calls.policy.returnroom import RETURN_ROOM
from linnetwood.calls.policy.returns import RETURNS
from linnetwood.core.clock import Clock
from linnetwood.core.metrics import Metrics
from linnetwood.core.options import Decisions
from linnetwood.fleet.wanted import WantedVersions
from linnetwood.platform.dialect import PlatformDialect
from linnetwood.wire.curldriver import CurlDriver


class CallPath:
    """Put together what admits a call, chooses for it and runs it."""

    def __init__(
        self,
        directory: Directory,
        driver: CurlDriver,
        wanted: WantedVersions,
        zone: str,
        metrics: Metrics,
        clock: Clock,
        rng: Random,
        decisions: Decisions,
    ) -> None:
        """Build; start nothing."""
        self.chooser = Chooser(directory, rng)
        self.dialect = PlatformDialect()
        self.dispatcher = DirectDispatcher(
            self.chooser,
            driver,
            self.dialect,
            wanted,
            zone,
            metrics,
        )
        self.entrance = Entrance(
            self.chooser,
            self.dispatcher,
            clock,
            RETURNS[decisions.returns](rng),
            FIRST_TRIES[decisions.first_tries](),
            RETURN_ROOM[decisions.return_room],
        )
