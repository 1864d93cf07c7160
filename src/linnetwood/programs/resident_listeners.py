"""The listeners of an entry on the platform."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer

from linnetwood.calls.callserver import CallServer
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.platform.settings import ProcessSettings
from linnetwood.programs.listening import listen, readiness_server
from linnetwood.programs.metricspage import MetricsPage
from linnetwood.programs.resident_limits import ResidentLimits


class EntryListeners:
    """Own the ports for callers, for the balancer's checks and for metrics."""

    def __init__(
        self,
        cfg: ProcessSettings,
        callers: CallServer,
        is_ready: Callable[[], bool],
        metrics: ExposedMetrics,
        limits: ResidentLimits,
    ) -> None:
        """Set the limits of each; start nothing."""
        self._cfg = cfg
        self._callers = callers
        self._callers.limit = limits.callers()
        self._readiness = readiness_server(
            is_ready, limits.control('readiness')
        )
        self.metrics_page = MetricsPage(metrics, limits.control('metrics'))
        self._servers: list[HTTPServer] = []

    def start_control(self) -> None:
        """Answer the platform."""
        self._listen(self._readiness, self._cfg.readiness)
        self.metrics_page.start(self._cfg.host)

    def start_callers(self) -> None:
        """Accept callers."""
        self._listen(self._callers, self._cfg.callers)

    def stop_accepting(self) -> None:
        """Accept no more callers and checks; open connections go on."""
        for server in self._servers:
            server.stop()

    def close(self) -> None:
        """Stop the metrics, too."""
        self.metrics_page.close()

    def _listen(
        self, server: HTTPServer, address: tuple[str, int] | None
    ) -> None:
        if address is not None:
            listen(server, address)
            self._servers.append(server)
