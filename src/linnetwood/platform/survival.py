"""Prove that the endpoint of an answer without a length still runs."""

import asyncio
from collections.abc import Callable

from linnetwood.calls.directory import Endpoint
from linnetwood.core.errors import OrderError
from linnetwood.core.loops import held_up_s
from linnetwood.platform.weights import ServerEngine
from linnetwood.wire.curldriver import CurlDriver
from linnetwood.wire.probing import Reaction, probe

# A sound engine may be silent for more than a second, or reset a connection
# over its limit. One that ended refuses connections at once.
_TRIES = 2
# After a hold-up, the ends of answers that arrived meanwhile are handled within
# this time.
_BACKLOG_S = 0.25
_RUNS = frozenset((Reaction.KEPT_OPEN, Reaction.CLOSED))


class SurvivalProbe:
    """Ask an endpoint itself whether it is still the same incarnation."""

    def __init__(
        self, driver: CurlDriver, has_engines: Callable[[str], bool]
    ) -> None:
        """Ask `has_engines` whether a service is configured with engines."""
        self._driver = driver
        self._has_engines = has_engines

    async def __call__(self, endpoint: Endpoint) -> bool:
        """Return whether it runs; False where nothing proves that."""
        if endpoint.born and self._is_engine(endpoint):
            return await self._is_same_incarnation(endpoint)
        # A connection shows only that something runs there by now. If this
        # process was held up, that may have replaced the endpoint.
        if held_up_s(asyncio.get_running_loop()) < _BACKLOG_S:
            return False
        return await probe(endpoint.host, endpoint.port) in _RUNS

    def _is_engine(self, endpoint: Endpoint) -> bool:
        # One that has just started is listed without a version.
        return bool(endpoint.versions) or self._has_engines(endpoint.service)

    async def _is_same_incarnation(self, endpoint: Endpoint) -> bool:
        """Compare the start that an engine reports with the listed one.

        What forwards to an engine that has crashed may accept connections, but
        can't answer for it.
        """
        engine = ServerEngine(
            (endpoint.host, endpoint.port), self._driver, keep=False
        )
        for _ in range(_TRIES):
            try:
                report = await engine.report()
            except OrderError:
                continue
            return report.born in {0, endpoint.born}
        return False
