"""A stand-in for a plain service, which counts its calls, for tests."""

import asyncio
import dataclasses

from tornado.web import Application, RequestHandler

CALL_HEADER = 'X-Call'


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Hold the number of runs by the call's body or URI."""

    delay_s: float = 0.005
    in_flight: int = 0
    runs: dict[str, int] = dataclasses.field(default_factory=dict)


class AnyHandler(RequestHandler):
    """Run any call, and echo it."""

    def initialize(self, state: ServiceState) -> None:
        """Use the service's state."""
        self.state = state

    async def get(self, path: str) -> None:
        """Run a call without a body."""
        await self._run(path)

    async def post(self, path: str) -> None:
        """Run a call with a body."""
        await self._run(path)

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""

    async def _run(self, path: str) -> None:
        call_key = self.request.body.decode() or self.request.uri or ''
        self.state.runs[call_key] = self.state.runs.get(call_key, 0) + 1
        self.state.in_flight += 1
        try:
            await asyncio.sleep(self.state.delay_s)
        finally:
            self.state.in_flight -= 1
        self.set_header('X-Desk', 'old')
        self.write(f'{path}:{call_key}')


class RunsHandler(RequestHandler):
    """Report the runs."""

    def initialize(self, state: ServiceState) -> None:
        """Use the service's state."""
        self.state = state

    def get(self) -> None:
        """Return the number of runs of each call."""
        self.write({'runs': self.state.runs})

    def data_received(self, chunk: bytes) -> None:
        """Accept no streamed bodies."""


def application(state: ServiceState) -> Application:
    """Return the service as a tornado application."""
    shared = {'state': state}
    return Application(
        [
            (r'/fake/runs', RunsHandler, shared),
            (r'/(.*)', AnyHandler, shared),
        ],
    )
