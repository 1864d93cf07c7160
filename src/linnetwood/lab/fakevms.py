"""A lagging list of live and leaving VMs, for tests."""

import time

from tornado.web import Application, RequestHandler


class VmListHandler(RequestHandler):
    """Give the list as it stood some seconds ago."""

    def initialize(self, history: list[tuple[float, str]]) -> None:
        """Share the history."""
        self.history = history

    def get(self) -> None:
        """Answer with the newest state older than the lag."""
        lag_s = float(self.get_argument('lag_s', '0'))
        before = time.monotonic() - lag_s
        old = [text for at, text in self.history if at <= before]
        self.set_header('Content-Type', 'application/json')
        self.write(old[-1] if old else '[]')

    def put(self) -> None:
        """Replace the list."""
        stamp = time.monotonic()
        self.history.append((stamp, self.request.body.decode()))

    def data_received(self, chunk: bytes) -> None:
        """Take no streamed bodies."""


def application() -> Application:
    """Give the list as a tornado application."""
    return Application([(r'/vms', VmListHandler, {'history': []})])
