"""Measure what entry and endpoint add to a call, and how overload is met."""

import asyncio
import json
import pathlib
import random
import sys
import time
import uuid
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.client import OperatorClient
from linnetwood.fakeengine import CALL_HEADER
from linnetwood.fleet import Fleet, Plan, Ports
from linnetwood.gen.schema.ttypes import (
    Deployment,
    Intent,
    Model,
    Organisation,
    Version,
    Weigh,
)
from linnetwood.http import open_client
from linnetwood.load import Caller, Record, Traffic, percentile
from linnetwood.measure_burst import (
    MODEL,
    engine_violations,
    follow,
    origin_state,
    publish,
)
from linnetwood.measure_control import cpu_s

_SIZE = 65536
_CALLS_PER_S = 15.0
_TOKENS_PER_CALL = 420
_TOKEN_S = 0.02
_SPAN_S = 12.0
_SETTLE_S = 2.0
_MILLISECONDS = 1000
_SHORT_TOKENS = 4
_SMALL = 'small'
_LARGE = 'large'
_SHARES = ((_LARGE, 8), (_SMALL, 2))


async def _deploy(fleet: Fleet) -> None:
    weights = random.Random(1).randbytes(_SIZE)
    manifest = await publish(fleet, weights, _SIZE)
    deployment = Deployment(
        models=[
            Model(
                name=MODEL,
                versions=[Version(name='v1', manifest=manifest)],
            ),
        ],
        organisations=[
            Organisation(name=name, share=share) for name, share in _SHARES
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
    await follow(fleet, 'v1', len(fleet.engine_ports), 30)
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


async def _added(fleet: Fleet, background: Caller) -> tuple[float, float]:
    """Pair calls through the system with calls to the engine itself."""
    client = open_client(8)
    body = {'model': MODEL, 'prompt': 'p', 'max_tokens': _SHORT_TOKENS}
    through = f'http://127.0.0.1:{fleet.http_ports()[0]}/v1/completions'
    direct = f'http://127.0.0.1:{fleet.engine_ports[0]}/generate'
    added = []
    background.start()
    await asyncio.sleep(_SETTLE_S)
    until = time.monotonic() + _SPAN_S
    while time.monotonic() < until:
        one = await _time_ms(client, through, body)
        other = await _time_ms(client, direct, body)
        added.append(one - other)
    await background.close()
    client.close()
    return percentile(added, 0.5), percentile(added, 0.99)


async def _tokens_cpu(caller: Caller, pids: list[int], span_s: float) -> float:
    """Give the processor seconds a token, over a span of steady calls."""
    caller.start()
    await asyncio.sleep(_SETTLE_S)
    began = sum(map(cpu_s, pids))
    await asyncio.sleep(span_s)
    used = sum(map(cpu_s, pids)) - began
    await caller.close()
    tokens = sum(len(one.gaps_s) + 1 for one in caller.records)
    calls_span = max(one.began + one.whole_s for one in caller.records)
    calls_span -= min(one.began for one in caller.records)
    return used / span_s / (tokens / calls_span)


async def _relay_ratio(fleet: Fleet, seed: int) -> float:
    port = Ports().take(1)[0]
    engine = fleet.engine_ports[0]
    relay = fleet.run(
        'relay',
        'relay',
        (f'--port={port}', f'--url=http://127.0.0.1:{engine}/generate'),
    )
    await asyncio.sleep(_SETTLE_S)
    try:
        bare = await _tokens_cpu(
            Caller(_traffic([port], seed)),
            [relay.pid],
            _SPAN_S,
        )
    finally:
        relay.terminate()
        relay.wait()
    pids = [one.process.pid for one in fleet.entries.values()]
    pids += [one.process.pid for one in fleet.endpoints.values()]
    ours = await _tokens_cpu(
        Caller(_traffic(fleet.http_ports()[:1], seed)),
        pids,
        _SPAN_S,
    )
    return ours / bare


def _traffic(ports: list[int], seed: int) -> Traffic:
    return Traffic(
        ports,
        MODEL,
        _CALLS_PER_S,
        tokens=_TOKENS_PER_CALL,
        deadline_s=60,
        seed=seed,
    )


async def _latency(seed: int) -> dict[str, Any]:
    plan = Plan(
        engines=2,
        services=0,
        entries=1,
        first_token_s=0.005,
        token_s=_TOKEN_S,
        slots=512,
        seed=seed,
    )
    fleet = Fleet(plan)
    try:
        await asyncio.to_thread(fleet.start)
        await _deploy(fleet)
        background = Caller(_traffic(fleet.http_ports(), seed))
        median, high = await _added(fleet, background)
        ratio = await _relay_ratio(fleet, seed)
        violations = await engine_violations(fleet)
    finally:
        await asyncio.to_thread(fleet.close)
    wrong = sum(1 for one in background.records if not one.right)
    return {
        'added_ms_p50': round(median, 3),
        'added_ms_p99': round(high, 3),
        'relay_cpu_ratio': round(ratio, 3),
        'violations': violations + wrong,
    }


async def _overloaded(seed: int, factor: float) -> dict[str, Any]:
    """Offer more than the engines can do; one organisation stays small."""
    plan = Plan(
        engines=2,
        services=0,
        entries=2,
        first_token_s=0.1,
        token_s=0.01,
        slots=8,
        seed=seed,
        entry={'queue_wait_s': 1.0, 'queue_limit': 64},
    )
    service_s = 0.1 + 0.01 * 10
    capacity = plan.engines * plan.slots / service_s
    fleet = Fleet(plan)
    try:
        await asyncio.to_thread(fleet.start)
        await _deploy(fleet)
        alone = await _offer(fleet, [(_SMALL, capacity * 0.1)], seed)
        mixed = await _offer(
            fleet,
            [(_SMALL, capacity * 0.1), (_LARGE, capacity * factor)],
            seed,
        )
        read = await origin_state(fleet)
    finally:
        await asyncio.to_thread(fleet.close)
    answered = sum(
        1 for records in mixed.values() for one in records if _good(one)
    )
    small = percentile(
        [one.whole_s for one in mixed[_SMALL] if _good(one)], 0.95
    )
    before = percentile(
        [one.whole_s for one in alone[_SMALL] if _good(one)], 0.95
    )
    return {
        'capacity_per_s': round(capacity, 1),
        'goodput_ratio': round(answered / _SPAN_S / capacity, 3),
        'small_p95_ratio': round(small / before, 3),
        'small_answered': round(
            sum(map(_good, mixed[_SMALL])) / len(mixed[_SMALL]),
            3,
        ),
        'origin_reads': read['bytes_read'],
    }


def _good(record: Record) -> bool:
    return record.outcome == 'answered' and record.right


async def _offer(
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
    await asyncio.sleep(_SPAN_S)
    await asyncio.gather(*(one.close() for one in callers.values()))
    return {name: one.records for name, one in callers.items()}


def serve(*, overload: float = 0, seed: int = 1, output: str = '') -> None:
    """Measure added latency and the cost of a token, or overload.

    :param overload: offer so many times the capacity; 0 measures latency
    :param seed: seed of the calls
    :param output: also write the JSON to this file
    """
    if overload:
        found = asyncio.run(_overloaded(seed, overload))
    else:
        found = asyncio.run(_latency(seed))
    text = json.dumps(found)
    if output:
        pathlib.Path(output).write_text(text)
    sys.stdout.write(f'{text}\n')
