"""The origin of weights, the control of stand-in servers, and their routes."""

import asyncio
import dataclasses
import hashlib
import json
import secrets
from typing import Any

from tornado.web import Application

from linnetwood.lab.soak.standcalls import CallHandler
from linnetwood.lab.soak.standengines import (
    HealthHandler,
    OrderHandler,
    ReportHandler,
    StageGetHandler,
    StagePutHandler,
)
from linnetwood.lab.soak.standhandler import StandInHandler
from linnetwood.lab.soak.standservers import (
    CHUNK_BYTES,
    CHUNKS,
    Endlessness,
    Server,
    Servers,
    Silence,
    make_chunk,
)

_NOT_FOUND = 404
_SILENCE_CHECK_S = 0.2


class OriginHandler(StandInHandler):
    """Return manifests and chunks; some are corrupted on command."""

    def initialize(self, servers: Servers) -> None:
        """Use the shared state."""
        self.servers = servers

    async def get(self, what: str, model: str) -> None:
        """Return a manifest or a chunk."""
        while self.servers.origin_silent:
            await asyncio.sleep(_SILENCE_CHECK_S)
        newest = str(self.servers.newest)
        version = int(self.get_argument('version', newest))
        if version > self.servers.newest:
            self.set_status(_NOT_FOUND)
            return
        if what == 'manifest':
            rows = [make_chunk(version, index) for index in range(CHUNKS)]
            self.write(
                {
                    'model': model,
                    'version': version,
                    'chunk_bytes': CHUNK_BYTES,
                    'layers': CHUNKS,
                    'digests': [
                        hashlib.sha256(one).hexdigest() for one in rows
                    ],
                },
            )
            return
        chunk = make_chunk(version, int(self.get_argument('quantity')))
        is_corrupted = self.servers.spoils and secrets.randbelow(2)
        self.write(bytes(CHUNK_BYTES) if is_corrupted else chunk)


class ControlHandler(StandInHandler):
    """Carry out commands of the soak, and return what was recorded."""

    def initialize(self, servers: Servers) -> None:
        """Use the shared state."""
        self.servers = servers

    def get(self) -> None:
        """Return all recorded calls and arrivals."""
        runs = [dataclasses.asdict(run) for run in self.servers.runs]
        arrivals = [dataclasses.asdict(one) for one in self.servers.arrivals]
        self.write(
            {
                'runs': runs,
                'arrivals': arrivals,
                'found': self.servers.weight_errors,
            },
        )

    def post(self) -> None:
        """Command a server or set a fault; return the servers' records."""
        command = json.loads(self.request.body)
        server = self.servers.servers.get(command.get('server', ''))
        if server is not None:
            self._run_command(server, command)
        for field in command.keys() & {'spoils', 'origin_silent'}:
            setattr(self.servers, field, bool(command[field]))
        endless = command.get('endless', {})
        self.servers.endless.update(
            {one: Endlessness(*endless[one]) for one in endless}
        )
        self.servers.newest = int(command.get('newest', self.servers.newest))
        self.write(
            {
                name: one.record('', '')
                for name, one in self.servers.servers.items()
                if one.alive and one.name == name
            },
        )

    def _run_command(self, server: Server, command: dict[str, Any]) -> None:
        match command['order']:
            case 'crash':
                server.crash()
            case 'start':
                server.restart(keep_staged=command['keeps'])
            case 'drain':
                server.draining = True
                server.notice = dataclasses.replace(server.notice, leaving=True)
            case 'say':
                changed = command['says']
                server.notice = dataclasses.replace(server.notice, **changed)
            case 'silence':
                server.fall_silent(Silence[command['holds']])
            case 'serve':
                server.serving = command['version']
            case 'rename':
                server.draining = False
                server.name = command['name']
                server.service = command.get('service', server.service)
                self.servers.servers[server.name] = server
                server.restart(keep_staged=False)


def add_server(
    servers: Servers, name: str, service: str, slots: int, port: int
) -> None:
    """Add a server that listens on a port of the loopback address."""
    server = Server(name, service, slots)
    servers.servers[name] = server
    shared = {'servers': servers, 'server': server}
    app = Application(
        [
            ('/linnetwood/report', ReportHandler, shared),
            ('/linnetwood/order', OrderHandler, shared),
            (r'/linnetwood/stage-put/(.*)', StagePutHandler, shared),
            (r'/linnetwood/stage-get/(.*)', StageGetHandler, shared),
            ('/health', HealthHandler, shared),
            ('/.*', CallHandler, shared),
        ],
    )
    server.listen(app, port)


def application(servers: Servers) -> Application:
    """Return the origin and the control as a tornado application."""
    shared = {'servers': servers}
    return Application(
        [
            (r'/linnetwood/(manifest|piece)/(.*)', OriginHandler, shared),
            ('/control', ControlHandler, shared),
        ],
    )
