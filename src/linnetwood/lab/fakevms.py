"""A stand-in list of live and leaving VMs, which may lag, for tests."""

import time

from tornado.web import Application, RequestHandler


class VmListHandler(RequestHandler):
    """Serve the list as it was some seconds ago."""

    def initialize(self, history: list[tuple[float, str]]) -> None:
        """Use the history of the list."""
        self.history = history

    def get(self) -> None:
        """Return the newest list that is older than the lag."""
        lag_s = float(self.get_argument('lag_s', '0'))
        before = time.monotonic() - lag_s
        lagged = [text for at, text in self.history if at <= before]
        self.set_header('Content-Type', 'application/json')
        self.write(lagged[-1] if lagged else '[]')

    def put(self) -> None:
        """Replace the list."""
        changed_at = time.monotonic()
        self.history.append((changed_at, self.request.body.decode()))

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


def application() -> Application:
    """Return the list as a tornado application."""
    return Application([(r'/vms', VmListHandler, {'history': []})])
