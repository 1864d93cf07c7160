"""The processes of a soak test: the programs, the stand-ins and the proxy.

Each VM has an address of its own under 127/8, so that all use the same ports.
"""

import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping

from linnetwood.lab.launcher import Ports
from linnetwood.lab.soak.movedroutes import PLAIN_SERVICES

ZONES = ('z1', 'z2', 'z3')
CALLERS_PORT = 8005
_READY_PORT = 8002
_WIRE_PORT = 7700
SERVER_PORT = 8204
_STORE_PORT = 8007
_LOOPBACK = '127.0.0.1'
_STOP_TIMEOUT_S = 12.0
_START_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_MILLISECONDS = 1000
_ENTRIES_FROM = 10
_ENGINES_FROM = 50
_DESKS_FROM = 90
_STORE_ZONE = 'z1'
# Each VM has an address of the store of its own, in such networks by zone.
_STORE_NET = 100
_NET_FROM = 20
_NET_TO = 250
_SLOTS = 8

_STAND_INS = 'linnetwood.lab.soak.standins'
_PROXY = 'linnetwood.lab.soak.proxy'
_ENDLESS = 'linnetwood.lab.soak.endless'

_SETTINGS = """
node = "{name}"
ip = "{host}"
zone = "{zone}"
region = "{zone}"
internal_port_range = [{wire}, {wire}]
{app}
[listen]
{listen}
[platform]
address = "{store}"
[limits]
link_mbps = 100
[bounds]
grace_period_s = 8
version_ms = {version_ms}
config_apply_ms = {apply_ms}
retry_budget_ratio = 0.2
retry_budget_extra = 100
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The number of processes of each kind."""

    entries: int = 6
    engines: int = 6
    desks: int = 3
    # The plain services that these servers are spread over.
    services: int = 1


@dataclasses.dataclass(slots=True)
class Vm:
    """A VM: its address, and the program that runs on it."""

    name: str
    host: str
    zone: str
    program: str = ''
    settings: str = ''
    process: 'subprocess.Popen[bytes] | None' = None

    @property
    def alive(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Start and stop all processes; no other process is signalled."""

    def __init__(self, size: Size, version_s: float, apply_s: float) -> None:
        """Choose addresses and write settings; start nothing."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='linnetwood-soak-'))
        self.version_s = version_s
        self.apply_s = apply_s
        self._claim = _claim_net()
        self._net = _net_of(self._claim)
        ports = Ports().take(2 + size.engines + size.desks)
        self.store_url = f'http://{_LOOPBACK}:{ports[0]}'
        self.control_url = f'http://{_LOOPBACK}:{ports[1]}'
        self._ports = ports
        self.plain_services = PLAIN_SERVICES[: size.services]
        self.entries = self._vms('entry', size.entries, _ENTRIES_FROM)
        self.engines = self._vms('engine', size.engines, _ENGINES_FROM)
        self.desks = self._vms('desk', size.desks, _DESKS_FROM)
        self._programs = (*self.entries, *self.engines)
        self.origin = f'127.{self._net}.200.1:{SERVER_PORT}'
        self._stand_ins: list[subprocess.Popen[bytes]] = []
        self._proxy: subprocess.Popen[bytes] | None = None

    @property
    def servers(self) -> dict[str, Vm]:
        """Return the VM of each initial server, by its id."""
        return {f'i-{vm.name}': vm for vm in (*self.engines, *self.desks)}

    def start_stand_ins(self) -> None:
        """Start the store, the servers and the proxy."""
        store, control, *servers = self._ports
        rows = [
            f'{name}={self._service_of(vm)}={_SLOTS}={port}'
            for (name, vm), port in zip(
                self.servers.items(), servers, strict=True
            )
        ]
        self._start_stand_in('store', _STAND_INS, 'store', str(store))
        endless = str(self.folder / 'endless.sock')
        self._start_stand_in('endless', _ENDLESS, endless)
        self._start_stand_in(
            'servers', _STAND_INS, 'servers', str(control), endless, *rows
        )
        self._proxy = self._spawn(
            'proxy', _PROXY, [','.join(ZONES), *self._forwarded()]
        )
        self._stand_ins.append(self._proxy)
        for address in (store, control, *servers):
            _wait_for_port(_LOOPBACK, address)

    def start_programs(self) -> None:
        """Start every entry and every endpoint process."""
        for vm in self.entries:
            listen = (
                f'frontend = "{vm.host}:{CALLERS_PORT}"\n'
                f'ready = "{vm.host}:{_READY_PORT}"'
            )
            self._write_settings(vm, 'resident_entry', listen, '')
        for vm in self.engines:
            app = f'app = "{vm.host}:{SERVER_PORT}"'
            self._write_settings(vm, 'resident_endpoint', '', app)
        for vm in self._programs:
            self.start(vm)

    def start(self, vm: Vm) -> None:
        """Start a VM's program, or restart it once it has ended."""
        environment = {'LINNETWOOD_NODE_FILE': vm.settings}
        program = f'linnetwood.programs.{vm.program}'
        vm.process = self._spawn(vm.name, program, [], environment)

    def set_proxy_mode(self, connections: list[str], mode: str) -> None:
        """Set the mode in which the proxy forwards some connections."""
        self._command_proxy({'ways': connections, 'mode': mode})

    def printed(self, stand_in: str, mark: str) -> list[str]:
        """Return the lines of a stand-in that begin with a mark."""
        text = (self.folder / f'{stand_in}.log').read_text()
        return [line for line in text.splitlines() if line.startswith(mark)]

    def fill_link(self, pick: int, span_s: float) -> None:
        """Fill a link between two zones with bulk traffic for a time."""
        self._command_proxy({'fill': (pick, span_s)})

    def lose_packets(self, pick: int, span_s: float) -> tuple[str, str]:
        """Lose packets between two zones for a time; return the zones."""
        pairs = tuple(itertools.permutations(ZONES, 2))
        zones = pairs[pick % len(pairs)]
        self._command_proxy({'lose': (zones, span_s)})
        return zones

    def store_address(self, vm: Vm) -> str:
        """Return the address of the store that a VM uses."""
        *_, zone, number = vm.host.split('.')
        net = f'127.{self._net}.{_STORE_NET + int(zone)}'
        return f'{net}.{number}:{_STORE_PORT}'

    def close(self) -> list[str]:
        """Stop everything; return the programs that did not stop cleanly."""
        for vm in self._programs:
            _request_stop(vm.process)
        failed = [
            one.name
            for one in self._programs
            if not _stopped_cleanly(one.process)
        ]
        for one in self._stand_ins:
            one.terminate()
            _stopped_cleanly(one)
        self._claim.close()
        return failed

    def _forwarded(self) -> Iterator[str]:
        """Yield NAME=LISTEN=TARGET=ZONE=ZONE OF CALLERS, or no such zone."""
        store, control, *ports = self._ports
        servers = zip(self.servers.items(), ports, strict=True)
        for (name, vm), port in servers:
            address = f'{vm.host}:{SERVER_PORT}'
            yield f'{name}={address}={_LOOPBACK}:{port}={vm.zone}='
        yield f'origin={self.origin}={_LOOPBACK}:{control}={_STORE_ZONE}='
        for vm in self._programs:
            row = f'{self.store_address(vm)}={_LOOPBACK}:{store}'
            yield f'store-{vm.name}={row}={_STORE_ZONE}={vm.zone}'

    def _vms(self, kind: str, count: int, first: int) -> list[Vm]:
        rows = []
        for number in range(count):
            zone = number % len(ZONES)
            host = f'127.{self._net}.{zone + 1}.{first + number // len(ZONES)}'
            rows.append(Vm(f'{kind}-{number}', host, ZONES[zone]))
        return rows

    def _service_of(self, vm: Vm) -> str:
        if vm in self.engines:
            return 'pool'
        turn = self.desks.index(vm) % len(self.plain_services)
        return self.plain_services[turn]

    def _command_proxy(self, command: Mapping[str, object]) -> None:
        if self._proxy is not None and self._proxy.stdin is not None:
            self._proxy.stdin.write(f'{json.dumps(command)}\n'.encode())
            self._proxy.stdin.flush()

    def _write_settings(
        self, vm: Vm, program: str, listen: str, app: str
    ) -> None:
        vm.program = program
        path = self.folder / f'{vm.name}.toml'
        path.write_text(
            _SETTINGS.format(
                name=vm.name,
                host=vm.host,
                zone=vm.zone,
                wire=_WIRE_PORT,
                app=app,
                listen=listen,
                store=self.store_address(vm),
                version_ms=int(self.version_s * _MILLISECONDS),
                apply_ms=int(self.apply_s * _MILLISECONDS),
            ),
        )
        vm.settings = str(path)

    def _start_stand_in(self, name: str, program: str, *args: str) -> None:
        self._stand_ins.append(self._spawn(name, program, list(args)))

    def _spawn(
        self,
        name: str,
        program: str,
        args: list[str],
        environment: dict[str, str] | None = None,
    ) -> 'subprocess.Popen[bytes]':
        with open(self.folder / f'{name}.log', 'ab') as stream:
            return subprocess.Popen(  # noqa: S603
                (sys.executable, '-m', program, *args),
                stdin=subprocess.PIPE if name == 'proxy' else None,
                stdout=stream,
                stderr=stream,
                env={**os.environ, **(environment or {})},
            )


def _claim_net() -> socket.socket:
    """Claim addresses that no other fleet uses, until the socket is closed."""
    nets = list(range(_NET_FROM, _NET_TO))
    random.shuffle(nets)
    for net in nets:
        claim = socket.socket()
        try:
            claim.bind((f'127.{net}.255.1', CALLERS_PORT))
        except OSError:
            claim.close()
            continue
        return claim
    raise OSError('other fleets have claimed all networks')


def _net_of(claim: socket.socket) -> int:
    """Return the second octet of the claimed addresses."""
    host, _ = claim.getsockname()
    return int(host.split('.')[1])


def _wait_for_port(host: str, port: int) -> None:
    until = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < until:
        with socket.socket() as probe:
            if probe.connect_ex((host, port)) == 0:
                return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f'{host}:{port} does not listen')


def _request_stop(process: 'subprocess.Popen[bytes] | None') -> None:
    if process is not None and process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)


def _stopped_cleanly(process: 'subprocess.Popen[bytes] | None') -> bool:
    """Wait for a stopping process; return whether it exited cleanly."""
    if process is None:
        return True
    try:
        code = process.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False
    return code in {0, -signal.SIGKILL, -signal.SIGTERM}
