"""Follow the store at an entry, directly or by relays, and relay changes."""

from collections.abc import Callable, Mapping
from random import Random

from linnetwood.fleet.freshness import bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelay import RangeRelay
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.retained import RetainedRecords
from linnetwood.fleet.startupsync import StartupSync
from linnetwood.platform import records
from linnetwood.platform.feeds import StoreFeed, endpoints
from linnetwood.platform.settings import ProcessSettings
from linnetwood.platform.store import PlatformStore
from linnetwood.wire.connections import FrameHandler, WireLimits


class StoreFollower:
    """Own the tasks that keep an entry up to date with the platform's store."""

    def __init__(
        self,
        cfg: ProcessSettings,
        store: PlatformStore,
        feed: StoreFeed,
        selector: RelaySelector,
        rng: Random,
        handlers: Mapping[int, FrameHandler],
        ask: Callable[[list[str]], None],
        limits: WireLimits,
    ) -> None:
        """Pass all changes to the feed; start nothing.

        The handlers get frames of other kinds that arrive at the same port.
        `ask` requests the list of entries from endpoint processes.
        """
        self._host = cfg.host
        self._zone = cfg.zone
        self._rng = rng
        self._store = store
        self.follower = RangeFollower(
            store,
            records.WHOLE_STORE,
            feed,
            rng,
            bounds_for(cfg.config_bound_s),
            RetainedRecords(records.OPERATOR_PREFIX, feed.apply_retained),
        )
        store.on_bytes = self.follower.note_bytes
        self._relay = RangeRelay(
            self.follower,
            selector,
            cfg.wire_port,
            handlers,
            limits,
        )

        self._startup_sync = StartupSync(
            self.follower,
            selector,
            self._endpoint_hosts,
            ask,
        )

    async def start(self) -> None:
        """Start to follow the store and to relay its changes."""
        await self._relay.start(self._host)
        self._startup_sync.start()

    async def close(self) -> None:
        """Stop all tasks; the state remains readable."""
        await self._startup_sync.close()
        await self._relay.close()
        await self.follower.close()

    async def _endpoint_hosts(self) -> list[str]:
        """Return the VMs of endpoints, those of this zone first."""
        found = await self._store.read(records.ENDPOINT_PREFIX)
        listed = list(endpoints(found))
        self._rng.shuffle(listed)
        listed.sort(key=lambda one: one.zone != self._zone)
        return [one.host for one in listed]
