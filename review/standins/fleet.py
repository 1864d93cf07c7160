"""The processes of a case: the project's programs and the servers.

Each machine has an address of its own under 127/8, so all use the same ports.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from review.standins.http import Answer, ask
from review.standins.store import Store
from review.standins.weights import (
    CHUNK_BYTES,
    CHUNKS,
    LAYERS,
    MODEL,
    Origin,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'case.example'
KEY = 'key-1'
CALLERS_PORT = 8005
READY_PORT = 8002
SERVER_PORT = 8204
STORE_PORT = 8007
VERSION_MS = 8000
DRAIN_S = 2.0
CONTACT_S = 3.0

_SETTINGS = """
node = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{machine_class}"]
ip = "{host}"
zone = "{zone}"
region = "{zone}"
internal_port_range = [7700, 7715]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1200
{app}
[zones]
z1 = "z1"
z2 = "z2"
z3 = "z3"
[listen]
{listen}
[limits]
cpu_share = 0.6
cores = 2
memory_mb = {memory_mb}
file_descriptors = 4100
link_mbps = {link_mbps}
disk_mb = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 102
recovery_s = 12
forward_pass_ms = 120
version_ms = 8000
version_all_ms = 0
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
"""


class Case:
    """Own all processes of a case and the record of what happened."""

    def __init__(self, folder: str) -> None:
        """Claim addresses; start nothing."""
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = pathlib.Path(folder).resolve()
        self.temporary = pathlib.Path(
            tempfile.mkdtemp(prefix='linnetwood-review-')
        )
        self.store = Store()
        self.origin = Origin(self.note)
        self.notes: list[dict[str, Any]] = []
        self.servers: dict[str, asyncio.subprocess.Process] = {}
        self.programs: dict[str, 'subprocess.Popen[bytes]'] = {}
        self.records: dict[str, dict[str, Any]] = {}
        self.hosts: dict[str, str] = {}
        self._settings: dict[str, str] = {}
        self._readers: list[asyncio.Task[None]] = []
        self._claim = _claim_net()
        net = self._claim.getsockname()[0].split('.')[1]
        self._net = f'127.{net}'
        self._began = time.monotonic()

    def note(self, what: str, fields: dict[str, object]) -> None:
        """Add a row to the record."""
        self.notes.append({'at': time.monotonic(), 'what': what, **fields})

    def seen(self, what: str, **fields: object) -> list[dict[str, Any]]:
        """Return the rows of a kind that have these fields."""
        return [
            row
            for row in self.notes
            if row['what'] == what
            and all(row.get(name) == one for name, one in fields.items())
        ]

    async def start_platform(self) -> None:
        """Start the store and the origin."""
        await self.store.start(f'{self._net}.200.1', STORE_PORT)
        await self.origin.start(f'{self._net}.200.2', SERVER_PORT)

    def address(self, zone: int, number: int) -> str:
        """Return the address of a machine."""
        return f'{self._net}.{zone}.{number}'

    async def start_server(
        self,
        name: str,
        host: str,
        kind: str,
        version: int = 0,
        gap_ms: int = 50,
    ) -> None:
        """Start a server's process and wait until it listens."""
        log = open(self.temporary / f'{name}.log', 'ab')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'review.standins.server',
            name,
            host,
            str(SERVER_PORT),
            kind,
            str(version),
            str(gap_ms),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
        )
        log.close()
        self.servers[name] = process
        self.hosts[name] = host
        self._readers.append(asyncio.create_task(self._read(process)))
        await self.wait_for(lambda: self.seen('started', server=name))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.notes.append(json.loads(line))

    def command(self, name: str, line: str) -> None:
        """Send a command to a server."""
        stdin = self.servers[name].stdin
        assert stdin is not None
        stdin.write(f'{line}\n'.encode())

    def list_server(
        self,
        name: str,
        zone: str,
        service: str,
        state: str = 'ready',
        version: int = 0,
    ) -> float:
        """Write a server's entry to the store, as the server does."""
        record: dict[str, Any] = {
            'service': service,
            'address': f'{self.hosts[name]}:{SERVER_PORT}',
            'zone': zone,
            'version': 'v1',
            'slots': 16,
            'state': state,
            'cold_remaining_ms': 0,
            'stage': 'combined',
            'models': [],
            'sequence': 1,
        }
        if version:
            record['models'] = [
                {'name': MODEL, 'version': version, 'adapters': []}
            ]
        self.records[name] = record
        at = self.store.write(f'servers/{name}', record)
        self.note('listed', {'server': name, 'state': state})
        return at

    def unlist_server(self, name: str) -> float:
        """Delete a server's entry."""
        self.note('unlisted', {'server': name})
        return self.store.write(f'servers/{name}', None)

    def configure(self, number: int = 1) -> None:
        """Write the configuration."""
        self.store.write(
            'op/config',
            {
                'version': number,
                'routes': [
                    self._route('/chat/', 'streaming', 'pool'),
                    self._route('/confirm/', 'non_idempotent', 'desk'),
                    self._route('/lookup/', 'idempotent', 'desk'),
                ],
                'services': [
                    {
                        'name': 'pool',
                        'connection_limit': 424,
                        'engine': {
                            'slots': 16,
                            'step_ms': 9.27,
                            'per_seq_ms': 0.0232,
                            'context_per_k': 0.0322,
                            'read_per_s': 20700,
                            'pairs_per_m': 1.18,
                            'stride': 5,
                            'kv_capacity_tokens': 317000,
                            'models': [{'name': MODEL}],
                            'layers': LAYERS,
                            'chunks': CHUNKS,
                            'chunk_bytes': CHUNK_BYTES,
                            'report_lag_ms': 200,
                            'usual': {'prompt': 900, 'answer': 90},
                        },
                    },
                    {'name': 'desk', 'connection_limit': 100},
                    {
                        'name': 'weights',
                        'origin': f'{self._net}.200.2:{SERVER_PORT}',
                        'link_mbps': 7.3,
                        'connection_limit': 48,
                    },
                ],
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 4194304,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                },
                'tenants': [{'name': 't-1', 'api_keys': [KEY]}],
            },
        )

    def _route(self, prefix: str, kind: str, service: str) -> dict[str, Any]:
        streams = kind == 'streaming'
        route = {
            'name': f'r-{prefix.strip("/")}',
            'host': HOST,
            'path_prefix': prefix,
            'kind': kind,
            'timeout_ms': 6000 if streams else 4000,
            'target_latency_ms': 500,
            'priority': 1,
            'service': service,
            'max_attempts': 1 if kind == 'non_idempotent' else 2,
            'public': False,
            'stream_resumption': streams,
        }
        if streams:
            route['target_gap_ms'] = 400
        return route

    def add_entry(self, name: str, zone: int, number: int) -> None:
        """Write the settings of an entry and start it."""
        host = self.address(zone, number)
        listen = (
            f'frontend = "{host}:{CALLERS_PORT}"\nready = "{host}:{READY_PORT}"'
        )
        self._add(name, host, zone, 'resident_entry', listen, '')

    def add_endpoint(self, name: str, zone: int, number: int) -> None:
        """Write the settings of an endpoint program and start it."""
        host = self.address(zone, number)
        app = f'app = "{host}:{SERVER_PORT}"\nservice = "pool"'
        self._add(name, host, zone, 'resident_endpoint', '', app)

    def _add(
        self,
        name: str,
        host: str,
        zone: int,
        program: str,
        listen: str,
        app: str,
    ) -> None:
        is_entry = program == 'resident_entry'
        path = self.temporary / f'{name}.toml'
        path.write_text(
            _SETTINGS.format(
                name=name,
                role='entry' if is_entry else 'endpoint',
                machine_class='frontend' if is_entry else 'side',
                host=host,
                zone=f'z{zone}',
                app=app,
                listen=listen,
                memory_mb=300 if is_entry else 168,
                link_mbps='1000.0' if is_entry else '3.65',
                store=f'{self._net}.200.1:{STORE_PORT}',
            )
        )
        self.hosts[name] = host
        self._settings[name] = f'{program}|{path}'
        self.start_program(name)

    def start_program(self, name: str) -> None:
        """Start a program with the command of the deploy file."""
        program, path = self._settings[name].split('|')
        with open(self.temporary / f'{name}.log', 'ab') as log:
            self.programs[name] = subprocess.Popen(
                ('python3', '-m', f'linnetwood.programs.{program}'),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'LINNETWOOD_NODE_FILE': path,
                },
            )
        self.note('program started', {'program': name})

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Signal a program."""
        self.note('signal', {'program': name, 'signal': signum.name})
        self.programs[name].send_signal(signum)

    async def start_small_site(self, gap_ms: int = 50) -> None:
        """Start a site of 3 zones: 3 entries, 6 model servers with version 1.

        Return once every machine has been in touch for contact_ms.
        """
        await self.start_platform()
        self.configure()
        for zone, letter in ((1, 'a'), (2, 'b'), (3, 'c')):
            for number in (1, 2):
                name = f'i-{letter}{number}'
                host = self.address(zone, 50 + number)
                await self.start_server(name, host, 'engine', 1, gap_ms)
                self.list_server(name, f'z{zone}', 'pool', version=1)
                self.add_endpoint(
                    f'endpoint-{letter}{number}', zone, 50 + number
                )
            self.add_entry(f'entry-{letter}', zone, 10)
        for letter in 'abc':
            await self.wait_until_ready(f'entry-{letter}')
        await asyncio.sleep(CONTACT_S + 1)

    async def wait_until_ready(self, entry: str, within_s: float = 40) -> None:
        """Wait until an entry says that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            found = await ask(
                self.hosts[entry],
                READY_PORT,
                'GET',
                '/linnetwood/readiness',
                {'Host': 'ready'},
            )
            if found.status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{entry} is not ready')

    async def wait_for(self, check: Any, within_s: float = 15) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + within_s
        while not check():
            if time.monotonic() > until:
                raise TimeoutError('a condition of the case was not met')
            await asyncio.sleep(0.01)

    async def call(
        self,
        entry: str,
        call_id: str,
        path: str,
        events: int = 0,
        more: dict[str, str] | None = None,
        deadline_ms: int = 6000,
    ) -> Answer:
        """Send a client's request on a new connection; record the answer."""
        headers = {
            'Host': HOST,
            'X-Attempt-Id': call_id,
            'X-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
        }
        if events:
            headers |= {
                'X-Model': MODEL,
                'X-Token-Counts': f'400,{events}',
                'X-Prompt-Prefix': f'aa01:40,{call_id}:360',
            }
        headers |= more or {}
        self.note('sent', {'call': call_id, 'path': path, 'entry': entry})
        found = await ask(
            self.hosts[entry],
            CALLERS_PORT,
            'POST',
            path,
            headers,
            timeout_s=deadline_ms / 1000 + 1,
        )
        ids = [
            int(line[3:])
            for line in found.body.decode('latin-1').split('\n')
            if line.startswith('id:')
        ]
        self.note(
            'got',
            {
                'call': call_id,
                'status': found.status,
                'whole': found.whole,
                'signature': found.headers.get('x-server-signature', ''),
                'ids': ids,
                'error': found.error,
                'body': '' if events else found.body.decode('latin-1')[:200],
            },
        )
        return found

    async def close(self) -> None:
        """End every process that was started."""
        for program in self.programs.values():
            if program.poll() is None:
                program.send_signal(signal.SIGCONT)
                program.kill()
        for server in self.servers.values():
            if server.returncode is None:
                server.kill()
        for program in self.programs.values():
            program.wait()
        for server in self.servers.values():
            await server.wait()
        for task in self._readers:
            await task
        self._claim.close()

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run to record.txt."""
        with open(self.folder / 'record.txt', 'w') as record:
            record.write(f'trouble: {int(self.trouble)}\n{verdict}\n')
            for row in sorted(self.notes, key=lambda one: one['at']):
                at = row['at'] - self._began
                rest = {
                    name: one
                    for name, one in row.items()
                    if name not in {'at', 'what'}
                }
                record.write(f'{at:9.3f} {row["what"]}: {json.dumps(rest)}\n')


def _claim_net() -> socket.socket:
    """Claim addresses that no other case uses, until the socket is closed."""
    nets = list(range(20, 250))
    random.shuffle(nets)
    for net in nets:
        claim = socket.socket()
        try:
            claim.bind((f'127.{net}.255.1', CALLERS_PORT))
        except OSError:
            claim.close()
            continue
        return claim
    raise OSError('all networks are claimed')


def run(folder: str, play: Any) -> None:
    """Play a case; exit with 1 if the rule broke, 0 if not, 2 if not played.

    `play` returns the ways in which the rule was broken.
    """
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder: str, play: Any) -> int:
    case = Case(folder)
    try:
        async with asyncio.timeout(110):
            broken = await play(case)
    except Exception as exc:
        verdict = f'could not run: {exc!r}'
        code = 2
    else:
        code = 1 if broken else 0
        verdict = '\n'.join(['BROKEN', *broken]) if broken else 'HELD'
    finally:
        await case.close()
    case.write_record(verdict)
    sys.stdout.write(f'{verdict}\n')
    return code
