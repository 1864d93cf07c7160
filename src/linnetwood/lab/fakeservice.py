"""A small plain service that counts what it ran, for tests."""

import asyncio
import dataclasses

from tornado.web import Application, RequestHandler

CALL_HEADER = 'X-Call'


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Hold what was run, by the caller's own mark."""

    delay_s: float = 0.005
    in_flight: int = 0
    runs: dict[str, int] = dataclasses.field(default_factory=dict)


class AnyHandler(RequestHandler):
    """Run whatever is asked and echo it."""

    def initialize(self, state: ServiceState) -> None:
        """Share the service's state."""
        self.state = state

    async def get(self, path: str) -> None:
        """Answer a lookup."""
        await self._run(path)

    async def post(self, path: str) -> None:
        """Run a call once."""
        await self._run(path)

    def data_received(self, chunk: bytes) -> None:
        """Take no streamed bodies."""

    async def _run(self, path: str) -> None:
        mark = self.request.body.decode() or self.request.uri or ''
        self.state.runs[mark] = self.state.runs.get(mark, 0) + 1
        self.state.in_flight += 1
        try:
            await asyncio.sleep(self.state.delay_s)
        finally:
            self.state.in_flight -= 1
        self.set_header('X-Desk', 'old')
        self.write(f'{path}:{mark}')


class RunsHandler(RequestHandler):
    """Tell what ran."""

    def initialize(self, state: ServiceState) -> None:
        """Share the service's state."""
        self.state = state

    def get(self) -> None:
        """Give the count for each mark."""
        self.write({'runs': self.state.runs})

    def data_received(self, chunk: bytes) -> None:
        """Take no streamed bodies."""


def application(state: ServiceState) -> Application:
    """Give the service as a tornado application."""
    shared = {'state': state}
    return Application(
        [
            (r'/fake/runs', RunsHandler, shared),
            (r'/(.*)', AnyHandler, shared),
        ],
    )
