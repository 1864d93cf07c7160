"""Measure the overhead of entry and endpoint, and behaviour under overload."""

import asyncio
import json
import pathlib
import random
import sys
import time
import uuid
from collections import Counter
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.core.metrics import Metric
from linnetwood.gen.schema.ttypes import (
    Deployment,
    Intent,
    Model,
    Organisation,
    Version,
    Weigh,
)
from linnetwood.lab.fakeengine import CALL_HEADER
from linnetwood.lab.instruments import (
    Figures,
    Machine,
    engine_violations,
    publish,
)
from linnetwood.lab.launcher import Fleet, Plan, Ports
from linnetwood.lab.load import Caller, Record, Traffic, percentile
from linnetwood.lab.measure_burst import MODEL, wait_for_replicas
from linnetwood.lab.measure_control import cpu_s
from linnetwood.programs.client import OperatorClient
from linnetwood.wire.http import open_client

_WEIGHTS_BYTES = 65536
_CALLS_PER_S = 15.0
_TOKENS_PER_CALL = 420
_TOKEN_S = 0.02
_WINDOW_S = 12.0
_SETTLE_S = 2.0
_MILLISECONDS = 1000
_MICROSECONDS = 1000000
# Longer than a call takes, so that as many calls end as begin.
_RAMP_UP_S = 12.0
_SHORT_TOKENS = 4
_SMALL = 'small'
_LARGE = 'large'
_ORGANISATION_SHARES = ((_LARGE, 8), (_SMALL, 2))


async def _deploy(fleet: Fleet) -> None:
    weights = random.Random(1).randbytes(_WEIGHTS_BYTES)
    manifest = await publish(fleet, weights, _WEIGHTS_BYTES)
    deployment = Deployment(
        models=[
            Model(
                name=MODEL,
                versions=[Version(name='v1', manifest=manifest)],
            ),
        ],
        organisations=[
            Organisation(name=name, share=share)
            for name, share in _ORGANISATION_SHARES
        ],
        intents=[
            Intent(
                model=MODEL,
                version='v1',
                replicas=len(fleet.engine_ports),
                weigh=Weigh.TIME,
            ),
        ],
    )
    with OperatorClient(fleet.operators()) as calls:
        calls.apply(deployment, 0, uuid.uuid4().hex, 'measure')
    await wait_for_replicas(fleet, 'v1', len(fleet.engine_ports), 30)
    await asyncio.sleep(_SETTLE_S)


async def _time_ms(
    client: AsyncHTTPClient, url: str, body: dict[str, Any]
) -> float:
    began = time.perf_counter()
    req = HTTPRequest(
        url,
        method='POST',
        body=json.dumps(body),
        headers={CALL_HEADER: uuid.uuid4().hex},
    )
    await client.fetch(req)
    return (time.perf_counter() - began) * _MILLISECONDS


class _LoadProcess:
    """Send calls from a separate process."""

    def __init__(self, fleet: Fleet, ports: list[int], seed: int) -> None:
        self._log = fleet.folder / f'load-{ports[0]}.log'
        self._process = fleet.run(
            'lab.load',
            f'load-{ports[0]}',
            (
                '--ports',
                *map(str, ports),
                f'--model={MODEL}',
                f'--calls-per-s={_CALLS_PER_S}',
                f'--tokens={_TOKENS_PER_CALL}',
                f'--seed={seed}',
            ),
        )

    def close(self) -> dict[str, Any]:
        """Stop the calls; return their outcomes."""
        self._process.terminate()
        self._process.wait()
        result: dict[str, Any] = json.loads(self._log.read_text())
        return result


async def _measure_added_ms(fleet: Fleet) -> tuple[float, float]:
    """Return the median and 99th percentile of added milliseconds.

    Each call through the system is paired with a call to the engine.
    """
    client = open_client(8)
    body = {'model': MODEL, 'prompt': 'p', 'max_tokens': _SHORT_TOKENS}
    through = f'http://127.0.0.1:{fleet.http_ports()[0]}/v1/completions'
    direct = f'http://127.0.0.1:{fleet.engine_ports[0]}/generate'
    added = []
    until = time.monotonic() + _WINDOW_S
    while time.monotonic() < until:
        system_ms = await _time_ms(client, through, body)
        engine_ms = await _time_ms(client, direct, body)
        added.append(system_ms - engine_ms)
    client.close()
    return percentile(added, 0.5), percentile(added, 0.99)


async def _cpu_share(pids: list[int]) -> float:
    began = sum(map(cpu_s, pids))
    await asyncio.sleep(_WINDOW_S)
    return (sum(map(cpu_s, pids)) - began) / _WINDOW_S


async def _measure_system(fleet: Fleet, seed: int) -> dict[str, Any]:
    """Return added latency and processor time a token under full load."""
    load = _LoadProcess(fleet, fleet.http_ports()[:1], seed)
    await asyncio.sleep(_RAMP_UP_S)
    pids = [started.process.pid for started in fleet.entries.values()]
    pids += [started.process.pid for started in fleet.endpoints.values()]
    share = await _cpu_share(pids)
    median, high = await _measure_added_ms(fleet)
    result = await asyncio.to_thread(load.close)
    return {
        'added_ms_p50': round(median, 3),
        'added_ms_p99': round(high, 3),
        'token_us': round(share / result['tokens_per_s'] * _MICROSECONDS, 1),
        'violations': result['wrong'] + result['cut'],
    }


async def _measure_relay(fleet: Fleet, seed: int) -> float:
    """Return the processor microseconds a token of the minimal relay."""
    port = Ports().take(1)[0]
    url = f'http://127.0.0.1:{fleet.engine_ports[0]}/generate'
    relay = fleet.run('lab.relay', 'relay', (f'--port={port}', f'--url={url}'))
    await asyncio.sleep(_SETTLE_S)
    load = _LoadProcess(fleet, [port], seed)
    await asyncio.sleep(_RAMP_UP_S)
    share = await _cpu_share([relay.pid])
    result = await asyncio.to_thread(load.close)
    relay.terminate()
    relay.wait()
    return share / float(result['tokens_per_s']) * _MICROSECONDS


async def _measure_latency(seed: int) -> dict[str, Any]:
    plan = Plan(
        engines=2,
        services=0,
        entries=1,
        first_token_s=0.005,
        token_s=_TOKEN_S,
        slots=512,
        fakes_per_process=1,
        seed=seed,
    )
    fleet = Fleet(plan)
    try:
        await asyncio.to_thread(fleet.start)
        await _deploy(fleet)
        result = await _measure_system(fleet, seed)
        relay_token_us = await _measure_relay(fleet, seed)
        result['violations'] += await engine_violations(fleet)
    finally:
        await asyncio.to_thread(fleet.close)
    result['bare_token_us'] = round(relay_token_us, 1)
    result['relay_cpu_ratio'] = round(result['token_us'] / relay_token_us, 3)
    return result


async def _measure_overload(seed: int, factor: float) -> dict[str, Any]:
    """Offer more than the capacity, and little from a small organisation."""
    machine = Machine()
    figures = Figures()
    plan = Plan(
        engines=2,
        services=0,
        entries=2,
        first_token_s=0.1,
        token_s=0.01,
        slots=8,
        seed=seed,
        entry={
            'queue_wait_s': 1.0,
            'queue_limit': 64,
            'watching': figures.settings(),
        },
    )
    service_s = 0.1 + 0.01 * 10
    capacity = plan.engines * plan.slots / service_s
    fleet = Fleet(plan)
    try:
        await asyncio.to_thread(fleet.start)
        await _deploy(fleet)
        alone = await _offer_load(fleet, [(_SMALL, capacity * 0.1)], seed)
        mixed = await _offer_load(
            fleet,
            [(_SMALL, capacity * 0.1), (_LARGE, capacity * factor)],
            seed,
        )
        violations = await engine_violations(fleet)
        retried = figures.read(Metric.CALLS_RETRIED)
    finally:
        figures.close()
        await asyncio.to_thread(fleet.close)
    records = [record for offered in mixed.values() for record in offered]
    wrong = sum(1 for record in records if not record.correct)
    answered = sum(map(_is_correct, records))
    small = percentile(
        [record.whole_s for record in mixed[_SMALL] if _is_correct(record)],
        0.95,
    )
    baseline = percentile(
        [record.whole_s for record in alone[_SMALL] if _is_correct(record)],
        0.95,
    )
    return {
        'capacity_per_s': round(capacity, 1),
        'goodput_ratio': round(answered / _WINDOW_S / capacity, 3),
        'small_p95_ratio': round(small / baseline, 3),
        'small_answered': round(
            sum(map(_is_correct, mixed[_SMALL])) / len(mixed[_SMALL]),
            3,
        ),
        'refused': {
            name: _count_codes(offered) for name, offered in mixed.items()
        },
        'extra_attempts_ratio': round(retried / max(1, len(records)), 4),
        'violations': violations + wrong,
        **machine.utilization(),
    }


def _is_correct(record: Record) -> bool:
    return record.outcome == 'answered' and record.correct


def _count_codes(records: list[Record]) -> dict[str, int]:
    """Count the calls without a correct answer by code."""
    return dict(
        Counter(record.code for record in records if not _is_correct(record))
    )


async def _offer_load(
    fleet: Fleet,
    loads: list[tuple[str, float]],
    seed: int,
) -> dict[str, list[Record]]:
    callers = {
        name: Caller(
            Traffic(
                fleet.http_ports(),
                MODEL,
                rate,
                tokens=10,
                deadline_s=2.0,
                seed=seed,
                organisation=name,
            ),
        )
        for name, rate in loads
    }
    for started in callers.values():
        started.start()
    await asyncio.sleep(_WINDOW_S)
    await asyncio.gather(*(caller.close() for caller in callers.values()))
    return {name: caller.records for name, caller in callers.items()}


def serve(*, overload: float = 0, seed: int = 1, output: str = '') -> int:
    """Measure added latency and the cost of a token, or behaviour in overload.

    :param overload: offered load over capacity; 0 measures latency
    :param seed: seed of the calls
    :param output: also write the JSON to this file
    """
    if overload:
        result = asyncio.run(_measure_overload(seed, overload))
    else:
        result = asyncio.run(_measure_latency(seed))
    text = json.dumps(result)
    if output:
        pathlib.Path(output).write_text(text)
    sys.stdout.write(f'{text}\n')
    return int(result['violations'] > 0)
