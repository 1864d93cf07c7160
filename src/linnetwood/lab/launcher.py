"""Start a small fleet on loopback for demos and measurements.

The system itself never starts processes.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from typing import Any

import yaml

_HOST = '127.0.0.1'
_START_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_PORTS_FROM = 12000
_PORTS_TO = 32000
_ZONES = (('north', 'n1'), ('north', 'n2'), ('south', 's1'))


@dataclasses.dataclass(slots=True)
class Plan:
    """The processes to start, and their settings."""

    engines: int = 4
    services: int = 1
    entries: int = 2
    origin_bytes_per_s: float = 5e7
    origin_corrupt: float = 0
    link_bytes_per_s: float = 0
    first_token_s: float = 0.02
    token_s: float = 0.005
    slots: int = 16
    fakes_per_process: int = 50
    checks_fences: bool = True
    seed: int = 0
    log_level: str = 'warning'
    transfer: dict[str, Any] = dataclasses.field(default_factory=dict)
    entry: dict[str, Any] = dataclasses.field(default_factory=dict)
    gossiping: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class StartedProcess:
    """A started process and its ports."""

    vm: str
    process: 'subprocess.Popen[bytes]'
    port: int
    second_port: int = 0
    third_port: int = 0


class Ports:
    """Find free ports below the range of outgoing connections."""

    def __init__(self) -> None:
        """Start at a random port, so that two fleets seldom collide."""
        self._next = random.randrange(_PORTS_FROM, _PORTS_TO)

    def take(self, count: int) -> list[int]:
        """Return ports that are free for both TCP and UDP."""
        found: list[int] = []
        while len(found) < count:
            self._next += 1
            if self._next >= _PORTS_TO:
                self._next = _PORTS_FROM
            if _is_free(self._next):
                found.append(self._next)
        return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                return False
    return True


class Fleet:
    """Start and stop the processes of one run."""

    def __init__(self, plan: Plan) -> None:
        """Choose ports and write settings; start nothing."""
        self.plan = plan
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='linnetwood-'))
        self.endpoints: dict[str, StartedProcess] = {}
        self.entries: dict[str, StartedProcess] = {}
        self.fakes: list[StartedProcess] = []
        ports = Ports()
        platform = ports.take(3)
        self.kv_port = platform[0]
        self.vms_port = platform[1]
        self.origin_port = platform[2]
        self.engine_ports = ports.take(plan.engines)
        self.service_ports = ports.take(plan.services)
        self._wire_ports = ports.take(plan.engines + plan.services)
        self._entry_ports = ports.take(plan.entries * 3)

    def start(self) -> None:
        """Start every process and wait until all of them listen."""
        self._start_fakes()
        for number in range(self.plan.entries):
            self._start_entry(number)
        for number in range(self.plan.engines):
            self.start_endpoint(number)
        for number in range(self.plan.services):
            self.start_endpoint(self.plan.engines + number)
        self._wait_until_listening()

    def close(self) -> list[str]:
        """Stop the processes; return the names of those that failed to."""
        system = [*self.entries.values(), *self.endpoints.values()]
        # The stand-ins run until the last process that uses them has stopped.
        return [*_stop(system), *_stop(self.fakes)]

    def kill(self, vm: str) -> None:
        """Kill an endpoint's process."""
        started = self.endpoints[vm]
        started.process.kill()
        started.process.wait()

    async def stall(self, vm: str, seconds: float) -> None:
        """Suspend a process for some seconds, to simulate a stalled link."""
        process = self.endpoints[vm].process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def http_ports(self) -> list[int]:
        """Return the ports of the entries for callers."""
        return [started.second_port for started in self.entries.values()]

    def operators(self) -> str:
        """Return the address of an entry for operators."""
        first = next(iter(self.entries.values()))
        return f'{_HOST}:{first.third_port}'

    def run(
        self,
        program: str,
        vm: str,
        args: tuple[str, ...],
    ) -> 'subprocess.Popen[bytes]':
        """Start a program of the package with its own log file."""
        command = (sys.executable, '-m', f'linnetwood.{program}', *args)
        with open(self.folder / f'{vm}.log', 'ab') as stream:
            return subprocess.Popen(  # noqa: S603
                command,
                stderr=stream,
                stdout=stream,
                stdin=subprocess.DEVNULL,
                env=_build_environment(),
            )

    def start_endpoint(self, number: int) -> str:
        """Start an endpoint's process; return the name of its VM."""
        vm = f'vm-{number:04d}'
        port = self._wire_ports[number]
        is_engine = number < self.plan.engines
        backend_port = (self.engine_ports + self.service_ports)[number]
        settings = {
            'place': self._place(vm, number, port),
            'platform': self._platform(),
            'trust': {'mode': 'plain'},
            'peers': self._peers(),
            'drain_limit_s': 20,
            'backend': {
                'kind': 'engine' if is_engine else 'service',
                'name': '' if is_engine else 'booking',
                'url': f'http://{_HOST}:{backend_port}',
                'slots': self.plan.slots,
            },
            'transfer': {
                'origin_url': f'http://{_HOST}:{self.origin_port}',
                'origin_bytes_per_s': self.plan.origin_bytes_per_s,
                'link_bytes_per_s': self.plan.link_bytes_per_s,
                **self.plan.transfer,
            },
            'gossiping': self.plan.gossiping,
            'watching': {'log_level': self.plan.log_level},
        }
        process = self._spawn('programs.endpoint', vm, settings)
        self.endpoints[vm] = StartedProcess(vm, process, port)
        return vm

    def _start_entry(self, number: int) -> None:
        vm = f'entry-{number:02d}'
        wire, http, operators = self._entry_ports[number * 3 : number * 3 + 3]
        settings = {
            'place': self._place(vm, number, wire),
            'platform': self._platform(),
            'trust': {'mode': 'plain'},
            'http_port': http,
            'operators_port': operators,
            'peers': self._peers(),
            'drain_limit_s': 20,
            'gossiping': self.plan.gossiping,
            'watching': {'log_level': self.plan.log_level},
            **self.plan.entry,
        }
        process = self._spawn('programs.entry', vm, settings)
        self.entries[vm] = StartedProcess(vm, process, wire, http, operators)

    def _place(self, vm: str, number: int, port: int) -> dict[str, Any]:
        region, zone = _ZONES[number % len(_ZONES)]
        return {
            'vm': vm,
            'availability_zone': zone,
            'region': region,
            'rack': f'r{number % 7}',
            'host': _HOST,
            'wire_port': port,
        }

    def _platform(self) -> dict[str, Any]:
        return {
            'kv_url': f'http://{_HOST}:{self.kv_port}',
            'vm_list_url': f'http://{_HOST}:{self.vms_port}/vms',
        }

    def _peers(self) -> list[str]:
        ports = [self._entry_ports[3 * one] for one in range(self.plan.entries)]
        return [f'{_HOST}:{port}' for port in ports[:3]]

    def _start_fakes(self) -> None:
        plan = self.plan
        self._spawn_fakes(
            'platform',
            f'--kv={self.kv_port}',
            f'--vms={self.vms_port}',
            f'--origin={self.origin_port}',
            f'--origin-bytes-per-s={plan.origin_bytes_per_s}',
            f'--origin-corrupt={plan.origin_corrupt}',
            f'--seed={plan.seed}',
        )
        size = plan.fakes_per_process
        for start in range(0, plan.engines, size):
            ports = map(str, self.engine_ports[start : start + size])
            self._spawn_fakes(f'engines-{start}', '--engine', *ports)
        if self.service_ports:
            ports = map(str, self.service_ports)
            self._spawn_fakes('services', '--service', *ports)

    def _spawn_fakes(self, name: str, *args: str) -> None:
        plan = self.plan
        common = (
            f'--first-token-s={plan.first_token_s}',
            f'--token-s={plan.token_s}',
            f'--slots={plan.slots}',
            '--checks-fences' if plan.checks_fences else '--no-checks-fences',
        )
        process = self.run('lab.fakes', f'fakes-{name}', (*common, *args))
        self.fakes.append(StartedProcess(f'fakes-{name}', process, 0))

    def _spawn(
        self,
        program: str,
        vm: str,
        settings: dict[str, Any],
    ) -> 'subprocess.Popen[bytes]':
        path = self.folder / f'{vm}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return self.run(program, vm, ('--settings', str(path)))

    def _wait_until_listening(self) -> None:
        ports = [started.port for started in self.endpoints.values()]
        ports += self.http_ports()
        ports += [self.kv_port, self.origin_port]
        ports += self.engine_ports + self.service_ports
        until = time.monotonic() + _START_TIMEOUT_S
        for port in ports:
            while not _is_listening(port):
                if time.monotonic() > until:
                    raise TimeoutError(f'{port} does not listen: {self.folder}')
                time.sleep(_POLL_INTERVAL_S)


def _build_environment() -> dict[str, str]:
    # Without cached bytecode, every process would compile the modules and use
    # more memory.
    environment = {**os.environ, 'PYTHONUNBUFFERED': '1'}
    environment.pop('PYTHONDONTWRITEBYTECODE', None)
    return environment


def _stop(processes: list[StartedProcess]) -> list[str]:
    for started in processes:
        with contextlib.suppress(ProcessLookupError):
            started.process.send_signal(signal.SIGCONT)
            started.process.send_signal(signal.SIGTERM)
    failed = []
    for started in processes:
        try:
            code = started.process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            started.process.kill()
            code = started.process.wait()
        if code not in {0, -signal.SIGKILL}:
            failed.append(started.vm)
    return failed


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(1)
        return probe.connect_ex((_HOST, port)) == 0
