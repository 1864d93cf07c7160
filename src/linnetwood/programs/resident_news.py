"""The store's news at an entry: followed, heard from neighbours, passed on."""

from collections.abc import Callable, Mapping
from random import Random

from linnetwood.fleet.freshness import bounds_for
from linnetwood.fleet.rangefollower import RangeFollower
from linnetwood.fleet.rangerelay import RangeRelay
from linnetwood.fleet.relayselector import RelaySelector
from linnetwood.fleet.startupsync import StartupSync
from linnetwood.platform import records
from linnetwood.platform.feeds import StoreFeed, endpoints
from linnetwood.platform.settings import ProcessSettings
from linnetwood.platform.store import PlatformStore
from linnetwood.wire.connections import FrameHandler


class StoreNews:
    """Own what keeps an entry up to date with the platform's store."""

    def __init__(
        self,
        cfg: ProcessSettings,
        store: PlatformStore,
        feed: StoreFeed,
        selector: RelaySelector,
        rng: Random,
        handlers: Mapping[int, FrameHandler],
        ask: Callable[[list[str]], None],
    ) -> None:
        """Hand all news to the feed; start nothing.

        Frames of other kinds that come to the same port go to the handlers.
        Processes beside engines are asked which other entries there are.
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
        )
        store.on_bytes = self.follower.note_bytes
        self._relay = RangeRelay(
            self.follower,
            selector,
            cfg.wire_port,
            handlers,
        )

        self._startup_sync = StartupSync(
            self.follower,
            selector,
            self._endpoint_hosts,
            ask,
        )

    async def start(self) -> None:
        """Listen to neighbours and for them, and follow the store."""
        await self._relay.start(self._host)
        self._startup_sync.start()

    async def close(self) -> None:
        """Tell and hear no more; what was learned stays."""
        await self._startup_sync.close()
        await self._relay.close()
        await self.follower.close()

    async def _endpoint_hosts(self) -> list[str]:
        """Give the VMs of endpoints, those of the own zone first."""
        found = await self._store.read(records.ENDPOINT_PREFIX)
        listed = list(endpoints(found))
        self._rng.shuffle(listed)
        listed.sort(key=lambda one: one.zone != self._zone)
        return [one.host for one in listed]
