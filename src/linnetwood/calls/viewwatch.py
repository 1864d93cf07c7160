"""Log when the view of the store becomes stale, and when it is fresh again."""

import asyncio
from typing import Protocol

from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.logfields import config_fields
from linnetwood.calls.viewwait import ViewNews
from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics
from linnetwood.core.owner import TaskOwner

_DIGITS = 3
# An age is stale beyond its limit, not at it.
_MARGIN_S = 0.001


class ViewAge(Protocol):
    """Tell the age of the view that calls are decided by."""

    def basis(self) -> ConfigBasis:
        """Return the basis for calls that arrive now."""

    def store_age_s(self) -> float:
        """Return the seconds since the store answered; infinity if never."""


class ViewSayings(Protocol):
    """Tell what the view was asked of and confirmed by, as log fields."""

    def confirmation(self, now: float) -> dict[str, object]:
        """Return by which way the view was confirmed last, and its age."""

    def reason(self, now: float) -> dict[str, object]:
        """Return what was asked and heard last, and how long ago."""


class ViewWatch(TaskOwner):
    """Own the task that notices when the view becomes stale or fresh."""

    def __init__(
        self,
        news: ViewNews,
        age: ViewAge,
        sayings: ViewSayings,
        max_age_s: float,
        metrics: Metrics,
    ) -> None:
        """Regard a view as stale that was not confirmed for max_age_s."""
        super().__init__()
        self._news = news
        self._age = age
        self._sayings = sayings
        self._max_age_s = max_age_s
        self._metrics = metrics
        self._stale_since: float | None = None

    def stale_s(self) -> float:
        """Return for how many seconds the view has been stale; 0 if fresh."""
        if self._stale_since is None:
            return 0
        return asyncio.get_running_loop().time() - self._stale_since

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        confirmed = asyncio.Event()
        self._news.subscribe(confirmed)
        started_at = loop.time()
        try:
            while True:
                await self._stale(started_at)
                self._note_stale(started_at)
                await self._fresh(confirmed)
                self._note_fresh()
        finally:
            self._news.unsubscribe(confirmed)

    async def _stale(self, started_at: float) -> None:
        """Return once the view is stale; it may be that from the start."""
        while True:
            left_s = self._max_age_s - self._age_s(started_at)
            if left_s < 0:
                return
            await asyncio.sleep(left_s + _MARGIN_S)

    async def _fresh(self, confirmed: asyncio.Event) -> None:
        while self._age.store_age_s() > self._max_age_s:
            await confirmed.wait()
            confirmed.clear()

    def _age_s(self, started_at: float) -> float:
        since_start_s = asyncio.get_running_loop().time() - started_at
        return min(self._age.store_age_s(), since_start_s)

    def _note_stale(self, started_at: float) -> None:
        now = asyncio.get_running_loop().time()
        over_s = self._age_s(started_at) - self._max_age_s
        self._stale_since = now - over_s
        self._metrics.count(Metric.VIEWS_STALE)
        log(
            Event.VIEW_STALE,
            **self._sayings.reason(now),
            **config_fields(self._age.basis()),
        )

    def _note_fresh(self) -> None:
        now = asyncio.get_running_loop().time()
        stale_s = round(self.stale_s(), _DIGITS)
        self._stale_since = None
        log(
            Event.VIEW_FRESH,
            stale_s=stale_s,
            **self._sayings.confirmation(now),
            **config_fields(self._age.basis()),
        )
