"""The limits of a process on the platform, from its settings."""

from linnetwood.core.connectionshares import ConnectionShares
from linnetwood.core.metrics import Metrics
from linnetwood.platform.settings import ProcessSettings
from linnetwood.wire.connectionlimit import ConnectionLimit


class ResidentLimits:
    """Limits on connections."""

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

    def _limit(self, listener: str, most: int) -> ConnectionLimit:
        return ConnectionLimit(listener, most, self._metrics)
