"""Let calls wait for a fresh view after the loop was held up.

Calls that came meanwhile are read before the news of what is in force, and
would be decided by what was in force before.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from linnetwood.core.waits import wait_for_event

# From the end of the hold-up. The store answers a changed configuration within
# some 10 ms; if it is away, calls lose no more than this, once.
MAX_VIEW_WAIT_S = 0.1


class ViewNews(Protocol):
    """Set events at each change or confirmation of the view."""

    def subscribe(self, event: asyncio.Event) -> None:
        """Set an event from now on."""

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Stop setting an event."""


class ViewWait:
    """Hold calls back for a moment while the view is stale by a hold-up."""

    def __init__(
        self,
        view_news: ViewNews,
        is_stale: Callable[[], bool],
        held_up_s: Callable[[], float],
    ) -> None:
        """Read from `held_up_s` how long ago the last hold-up ended."""
        self._news = view_news
        self._is_stale = is_stale
        self._held_up_s = held_up_s

    async def wait(self) -> None:
        """Return once the view is fresh, or after the longest wait."""
        if self._held_up_s() >= MAX_VIEW_WAIT_S or not self._is_stale():
            return
        confirmed = asyncio.Event()
        self._news.subscribe(confirmed)
        try:
            await self._wait_for(confirmed)
        finally:
            self._news.unsubscribe(confirmed)

    async def _wait_for(self, confirmed: asyncio.Event) -> None:
        while self._is_stale():
            left_s = MAX_VIEW_WAIT_S - self._held_up_s()
            if not await wait_for_event(confirmed, max(0, left_s)):
                return
            confirmed.clear()
