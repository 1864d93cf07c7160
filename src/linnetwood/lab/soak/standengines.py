"""Handlers of what endpoint processes ask of stand-in engines.

An engine checks that the chunks that it is ordered to serve are complete and of
one version.
"""

import asyncio
import json
import secrets
import time

from linnetwood.lab.soak.standhandler import ServerHandler
from linnetwood.lab.soak.standservers import (
    CHUNKS,
    Server,
    Silence,
    make_chunk,
)

_ACCEPTED = 202
_NOT_FOUND = 404
_CONFLICT = 409
_SERVICE_UNAVAILABLE = 503
_LOAD_TIME_S = 0.2


class ReportHandler(ServerHandler):
    held_by = Silence.REPORTS

    def get(self) -> None:
        """Return the load report."""
        if self.answers_without_end(f'report {secrets.token_hex(4)}'):
            return
        server = self.server
        self.write(
            {
                'stage': 'combined',
                'models': server.served_models(),
                'utilization': server.changing,
                'sequence': server.sequence,
                'born': server.incarnation,
                'waiting': 0,
                'running': len(server.running),
                'kv_used': 0,
                'kv_total': 1,
                'handles': 0,
            },
        )


class HealthHandler(ServerHandler):
    held_by = Silence.REPORTS

    def get(self) -> None:
        """Report healthy unless the server is draining."""
        self.set_header('X-Instance-Id', self.server.name)
        if self.server.draining:
            self.set_status(_SERVICE_UNAVAILABLE)


class StagePutHandler(ServerHandler):
    def put(self, model: str) -> None:
        """Store a chunk."""
        index = int(self.get_argument('quantity'))
        self.server.staged[index] = self.request.body


class StageGetHandler(ServerHandler):
    def get(self, model: str) -> None:
        """Return a chunk, or the list of those that are stored."""
        index = self.get_argument('quantity', '')
        staged = self.server.staged
        if not index:
            self.write({'held': sorted(staged)})
            return
        if int(index) not in staged:
            self.set_status(_NOT_FOUND)
            return
        self.write(staged[int(index)])


class OrderHandler(ServerHandler):
    async def post(self) -> None:
        """Load the staged chunks, and record which of them are wrong."""
        server = self.server
        order = json.loads(self.request.body)
        if order['expected_revision'] != server.sequence:
            self.set_status(_CONFLICT)
            return
        server.sequence += 1
        server.changing = True
        version = order['version']
        staged = dict(server.staged)
        expected = {
            index: make_chunk(version, index) for index in range(CHUNKS)
        }
        if staged != expected:
            mismatched = [
                one for one in expected if staged.get(one) != expected[one]
            ]
            now = time.monotonic()
            description = (
                f'{now:.3f} {server.name} version {version}: {mismatched}'
            )
            self.servers.weight_errors.append(description)
        self.set_status(_ACCEPTED)
        incarnation = server.incarnation
        loop = asyncio.get_running_loop()
        loop.call_later(_LOAD_TIME_S, _load, server, version, incarnation)


def _load(server: Server, version: int, incarnation: int) -> None:
    if server.incarnation == incarnation:
        server.changing = False
        server.serving = version
