"""The limits of a process on the platform, from its settings."""

import sys

from linnetwood.core.connectionshares import ConnectionShares
from linnetwood.core.metrics import Metrics
from linnetwood.platform.settings import ProcessSettings
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.connections import WireLimits

# Share of the memory limit that connections between processes may hold.
_WIRE_SHARE = 0.2


class ResidentLimits:
    """Limits on connections, and on what those between processes hold."""

    __slots__ = ('_cfg', '_metrics', 'shares')

    def __init__(
        self, cfg: ProcessSettings, shares: ConnectionShares, metrics: Metrics
    ) -> None:
        """Count the connections that are closed in these metrics."""
        self.shares = shares
        self._cfg = cfg
        self._metrics = metrics

    def callers(self) -> ConnectionLimit:
        """Return the limit on connections of callers."""
        return self._limit('callers', self.shares.callers)

    def control(self, listener: str) -> ConnectionLimit:
        """Return the limit on connections of the platform at a listener."""
        return self._limit(listener, self.shares.control)

    def processes(self) -> WireLimits:
        """Return the limits on connections of other processes."""
        memory_bytes = self._cfg.memory_bytes
        return WireLimits(
            self._limit('processes', self.shares.processes),
            int(memory_bytes * _WIRE_SHARE) if memory_bytes else sys.maxsize,
        )

    def _limit(self, listener: str, most: int) -> ConnectionLimit:
        return ConnectionLimit(listener, most, self._metrics)
