"""The store's news at an entry: followed, heard from neighbours, passed on."""

from collections.abc import Mapping
from random import Random

from linnetwood.fleet.belief import bounds_within
from linnetwood.fleet.following import Following
from linnetwood.fleet.relaying import Relay
from linnetwood.fleet.tellers import Tellers
from linnetwood.platform import records
from linnetwood.platform.feeds import StoreFeed
from linnetwood.platform.settings import Residence
from linnetwood.platform.store import PlatformStore
from linnetwood.wire.connections import FrameHandler
from linnetwood.wire.curldriver import CurlDriver


class StoreNews:
    """Own what keeps an entry up to date with the platform's store."""

    def __init__(
        self,
        cfg: Residence,
        driver: CurlDriver,
        feed: StoreFeed,
        tellers: Tellers,
        rng: Random,
        handlers: Mapping[int, FrameHandler],
    ) -> None:
        """Hand all news to the feed; start nothing.

        Frames of other kinds that come to the same port go to the handlers.
        """
        self._host = cfg.host
        store = PlatformStore(cfg.store, driver)
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

    async def start(self) -> None:
        """Follow the store, and listen to neighbours and for them."""
        self.following.start()
        await self._relay.start(self._host)

    async def close(self) -> None:
        """Tell and hear no more; what was learned stays."""
        await self._relay.close()
        await self.following.close()
