"""An HTTP page from which a collector scrapes the metrics of a process."""

from http import HTTPStatus

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from linnetwood.core.events import Event, log
from linnetwood.core.exposed import ExposedMetrics
from linnetwood.wire.connectionlimit import ConnectionLimit
from linnetwood.wire.controlserver import open_control_server

# deploy/system.toml names the same port and path.
PORT = 9464
PATH = '/metrics'
_CONNECTIONS = 16
_OK = ResponseStartLine('HTTP/1.1', HTTPStatus.OK, 'OK')
_NOT_FOUND = ResponseStartLine(
    'HTTP/1.1',
    HTTPStatus.NOT_FOUND,
    'Not Found',
)


class MetricsPage:
    """Serve the metrics at one address."""

    def __init__(
        self, metrics: ExposedMetrics, limit: ConnectionLimit | None = None
    ) -> None:
        """Serve these metrics, on a limited number of connections."""
        self._metrics = metrics
        self._server = open_control_server(
            self._answer, limit or ConnectionLimit('metrics', _CONNECTIONS)
        )

    def start(self, host: str, port: int = PORT) -> None:
        """Listen; if the port is in use, continue without the page."""
        try:
            self._server.add_sockets(bind_sockets(port, host))
        except OSError as exc:
            log(Event.METRICS_UNREACHABLE, host=host, detail=str(exc))

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _answer(self, req: HTTPServerRequest) -> None:
        conn = req.connection
        if conn is None:
            return
        found = req.path == PATH
        text = self._metrics.text() if found else b''
        headers = HTTPHeaders(
            {
                'Content-Type': 'text/plain; version=0.0.4',
                'Content-Length': str(len(text)),
            },
        )
        conn.write_headers(_OK if found else _NOT_FOUND, headers, text)
        conn.finish()
