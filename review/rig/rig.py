"""Start the project's two programs beside stand-ins, on loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from review.rig import engine, http1
from review.rig.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLERS, READY, WIRE, APP, STORE = 8005, 8002, 7700, 8001, 8007
ZONES = ('z1', 'z2', 'z3')
KEY = 'k1'
HOST = 'a.example'

SETTINGS = '''
node = "{name}"
role = "{role}"
machine_class = "{kind}"
ip = "{host}"
zone = "{zone}"
region = "{zone}"
internal_port_range = [7700, 7715]
bootstrap = true
heartbeat_interval_ms = 1200
{app}
[zones]
z1 = "z1"
z2 = "z2"
z3 = "z3"
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory}
file_descriptors = 4100
link_mbps = {link}
disk_mb = 0
[bounds]
address_reuse_s = 2
contact_ms = 3000
drain_timeout_ms = 2000
grace_period_s = 8
config_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 102
recovery_s = 12
version_ms = {version_ms}
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
'''


def route(name, prefix, kind, service, **more):
    """Return one route."""
    return {
        'name': name, 'host': HOST, 'path_prefix': prefix, 'kind': kind,
        'service': service, 'timeout_ms': 6000, 'target_latency_ms': 506,
        'priority': 1, 'max_attempts': 2, 'public': False, **more,
    }


class Rig:
    """All processes and stand-ins of one script."""

    def __init__(self, folder, entries=3, version_ms=8000):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix='linnetwood-rig-'))
        # Held for as long as the script runs, so that no other takes the net.
        self.claim, self.net = _free_net()
        self.version_ms = version_ms
        self.began = time.monotonic()
        self.store = Store()
        self.origin = engine.Origin()
        self.servers = []
        self.runs = []
        self.notes = []
        self.calls = []
        self.programs = {}
        self.entries = [
            (f'entry-{one}', f'127.{self.net}.{one % 3 + 1}.{10 + one}',
             ZONES[one % 3]) for one in range(entries)
        ]

    def now(self):
        """Return seconds since the start."""
        return round(time.monotonic() - self.began, 4)

    def note(self, text):
        """Write a line into the record."""
        self.notes.append(f'{self.now():9.3f} {text}')

    def host(self, number, zone):
        """Return an address of a machine."""
        return f'127.{self.net}.{ZONES.index(zone) + 1}.{number}'

    def add_engines(self, count, service='pool', slots=16):
        """Add model servers, each beside an endpoint process."""
        for one in range(count):
            zone = ZONES[one % 3]
            host = self.host(50 + one, zone)
            self.servers.append(engine.Engine(
                self, f'i-e{one}', service, host, APP, zone, slots))

    def add_plain(self, count, service='desk', slots=6):
        """Add plain servers."""
        for one in range(count):
            zone = ZONES[one % 3]
            host = self.host(90 + len(self.servers), zone)
            self.servers.append(engine.Plain(
                self, f'i-{service}{one}', service, host, APP, zone, slots))

    @property
    def engines(self):
        """Return the model servers."""
        return [one for one in self.servers
                if isinstance(one, engine.Engine)]

    def config(self, version, routes, engine_more=(), **more):
        """Return a configuration."""
        services = {one.service for one in self.servers}
        rows = []
        for name in sorted(services):
            row = {'name': name, 'connection_limit': 424,
                   'health_check_path': '/health'}
            if any(one.service == name for one in self.engines):
                slots = self.engines[0].slots
                row['engine'] = {
                    'slots': slots, 'step_ms': 9.27, 'per_seq_ms': 0.0232,
                    'context_per_k': 0.0322, 'read_per_s': 20700,
                    'pairs_per_m': 1.18, 'chunk': 2048, 'stride': 5,
                    'usual': {'prompt': 900, 'answer': 90},
                    'kv_capacity_tokens': 317000,
                    'models': [{'name': engine.MODEL}],
                    'layers': engine.LAYERS, 'chunks': engine.CHUNKS,
                    'chunk_bytes': engine.CHUNK_BYTES,
                    'report_lag_ms': 100, **dict(engine_more),
                }
            rows.append(row)
        rows.append({'name': 'weights', 'link_mbps': 7.3,
                     'connection_limit': 48,
                     'origin': f'127.{self.net}.200.1:{APP}'})
        return {
            'version': version, 'routes': routes, 'services': rows,
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
            'tenants': [{'name': 't1', 'api_keys': [KEY], 'priority': 1}],
            **more,
        }

    async def start(self, config):
        """Start stand-ins and programs; return once all entries are ready."""
        self.store_host = f'127.{self.net}.201.1'
        await self.store.server.start(self.store_host, STORE)
        await self.origin.server.start(f'127.{self.net}.200.1', APP)
        for one in self.servers:
            await one.server.start(one.host, one.port)
            one.publish()
        self.store.write('op/config', config)
        for name, host, zone in self.entries:
            listen = (f'frontend = "{host}:{CALLERS}"\n'
                      f'ready = "{host}:{READY}"')
            self.spawn(name, 'resident_entry', 'frontend', host, zone, listen)
        for one in self.engines:
            app = f'app = "{one.host}:{one.port}"\nservice = "{one.service}"'
            self.spawn(f'side-{one.name}', 'resident_endpoint', 'side',
                       one.host, one.zone, '', app)
        until = time.monotonic() + 30
        for _, host, _ in self.entries:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise RuntimeError('an entry is not ready')
                await asyncio.sleep(0.1)
        self.note('all entries are ready')

    async def is_ready(self, host):
        """Ask an entry whether it is ready."""
        got = await http1.ask(host, READY, 'GET', '/linnetwood/readiness',
                              [('Host', host)], limit_s=1)
        return got.status == 200

    def spawn(self, name, program, kind, host, zone, listen, app=''):
        """Start one program with a settings file."""
        path = self.temp / f'{name}.toml'
        path.write_text(SETTINGS.format(
            name=name, role=program, kind=kind, host=host, zone=zone,
            app=app, listen=listen, version_ms=self.version_ms,
            store=f'{self.store_host}:{STORE}',
            memory=300 if kind == 'frontend' else 168,
            link=1000.0 if kind == 'frontend' else 3.65,
        ))
        self.programs[name] = [path, program, None]
        self.start_program(name)

    def start_program(self, name):
        """Start a program, or start it again."""
        path, program, _ = self.programs[name]
        env = {
            'PATH': os.environ['PATH'], 'HOME': str(self.temp),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'LINNETWOOD_NODE_FILE': str(path),
        }
        with open(self.temp / f'{name}.log', 'ab') as stream:
            process = subprocess.Popen(
                ['python3', '-m', f'linnetwood.programs.{program}'],
                cwd=ROOT, env=env, stdout=stream, stderr=stream,
                stdin=subprocess.DEVNULL)
        self.programs[name][2] = process

    def signal(self, name, number):
        """Signal a program."""
        process = self.programs[name][2]
        if process.poll() is None:
            process.send_signal(number)

    def freeze(self, one):
        """Let a machine stand still: its server and its side process."""
        one.awake.clear()
        self.signal(f'side-{one.name}', signal.SIGSTOP)
        self.note(f'the machine of {one.name} stands still')

    def thaw(self, one):
        """Let a machine go on."""
        one.awake.set()
        self.signal(f'side-{one.name}', signal.SIGCONT)
        self.note(f'the machine of {one.name} goes on')

    async def call(self, entry, method, path, headers=(), body=b'',
                   deadline_ms=6078, limit_s=None):
        """Send one client request to an entry, and record it."""
        call_id = os.urandom(8).hex()
        head = [('Host', HOST), ('X-Attempt-Id', call_id),
                ('X-Deadline-Ms', str(deadline_ms)),
                ('Authorization', f'Bearer {KEY}'), *headers]
        row = {'call': call_id, 'entry': self.entries[entry][0],
               'path': path, 'sent': self.now()}
        self.calls.append(row)
        got = await http1.ask(
            self.entries[entry][1], CALLERS, method, path, head, body,
            limit_s=limit_s or deadline_ms / 1000 + 1)
        row.update(status=got.status, whole=got.whole, error=got.error,
                   first_s=round(got.first_s, 3), end_s=round(got.end_s, 3),
                   bytes=len(got.body),
                   retry_after=got.headers.get('retry-after', ''),
                   signature=got.headers.get('x-server-signature', ''))
        return call_id, got

    def runs_of(self, call_id):
        """Return the runs of a call."""
        return [one for one in self.runs if one.call == call_id]

    async def stop(self):
        """End every program, and write the record."""
        for name, (_, _, process) in self.programs.items():
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for _, _, process in self.programs.values():
            if process is not None:
                process.wait()
        for one in (self.store, self.origin, *self.servers):
            await one.server.stop()
        await asyncio.sleep(0.2)
        with open(self.folder / 'record.txt', 'w') as stream:
            for line in self.notes:
                stream.write(f'{line}\n')
            for row in self.calls:
                stream.write(f'sent {json.dumps(row)}\n')
            for run in self.runs:
                stream.write(f'run {json.dumps(run.row(), default=str)}\n')
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.temp, os.environ['KEEP_LOGS'],
                            dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def _free_net():
    """Claim addresses that nobody uses; return the second octet, too."""
    nets = list(range(20, 250))
    random.shuffle(nets)
    for net in nets:
        claim = socket.socket()
        try:
            claim.bind((f'127.{net}.255.1', CALLERS))
            for port in (CALLERS, WIRE, APP, STORE):
                with socket.socket() as probe:
                    probe.bind((f'127.{net}.1.10', port))
        except OSError:
            claim.close()
            continue
        return claim, net
    raise OSError('no free addresses')


def main(case):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it didn't run.

    `case(folder, trouble)` returns a list of what broke the rule.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder, trouble), 110))
    except BaseException as exc:
        print(f'the case could not run: {exc!r}')
        if os.environ.get('RIG_RAISE'):
            raise
        sys.exit(2)
    for line in broken:
        print(line)
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
