"""The store's news at an entry: followed, heard from neighbours, passed on."""

from collections.abc import Callable, Mapping
from random import Random

from linnetwood.fleet.belief import bounds_within
from linnetwood.fleet.following import Following
from linnetwood.fleet.introduction import Introduction
from linnetwood.fleet.relaying import Relay
from linnetwood.fleet.tellers import Tellers
from linnetwood.platform import records
from linnetwood.platform.feeds import StoreFeed, endpoints
from linnetwood.platform.settings import Residence
from linnetwood.platform.store import PlatformStore
from linnetwood.wire.connections import FrameHandler


class StoreNews:
    """Own what keeps an entry up to date with the platform's store."""

    def __init__(
        self,
        cfg: Residence,
        store: PlatformStore,
        feed: StoreFeed,
        tellers: Tellers,
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
        self.following = Following(
            store,
            records.WHOLE_STORE,
            feed,
            rng,
            bounds_within(cfg.config_bound_s),
        )
        store.heard = self.following.flowed
        self._relay = Relay(
            self.following,
            tellers,
            cfg.wire_port,
            handlers,
        )

        self._introduction = Introduction(
            self.following,
            tellers,
            self._look,
            ask,
        )

    async def start(self) -> None:
        """Listen to neighbours and for them, and follow the store."""
        await self._relay.start(self._host)
        self._introduction.start()

    async def close(self) -> None:
        """Tell and hear no more; what was learned stays."""
        await self._introduction.close()
        await self._relay.close()
        await self.following.close()

    async def _look(self) -> list[str]:
        """Give the VMs of endpoints, those of the own zone first."""
        found = await self._store.read(records.ENDPOINT_PREFIX)
        listed = list(endpoints(found))
        self._rng.shuffle(listed)
        listed.sort(key=lambda one: one.zone != self._zone)
        return [one.host for one in listed]
