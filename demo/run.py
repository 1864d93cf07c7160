"""Show the whole path: two rollouts under live calls, then a plain report."""

import asyncio
import json
import pathlib
import random
import sys
import time

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.lab.instruments import (
    engine_violations,
    origin_state,
    publish,
)
from linnetwood.lab.launcher import Fleet, Plan
from linnetwood.lab.load import Caller, Record, Traffic, percentile
from linnetwood.programs import cli, exits

MODEL = 'sevak'
REPLICAS = 4
SIZE = 8 << 20
CHUNK = 1 << 16
CALLS_PER_S = 30.0
LIMIT_S = 30.0
SCHEMA = """include "linnetwood.thrift"

const linnetwood.Deployment deployment = {
  "models": [
    {
      "name": "sevak",
      "versions": [
        {"name": "v1", "manifest": "%s"},
        {"name": "v2", "manifest": "%s"}
      ]
    }
  ],
  "services": [{"name": "booking", "once_paths": ["/confirm"]}],
  "organisations": [
    {"name": "camps", "share": 3},
    {"name": "desks", "share": 1}
  ]
}
"""


async def run_command(fleet: Fleet, *args: str) -> int:
    """Run an operator's command as an operator would."""
    print('$ linnetwood', *args)
    with_entry = [*args, f'--entry={fleet.operators()}']
    return await asyncio.to_thread(cli.run, with_entry)


async def rollout(fleet: Fleet, version: str) -> float:
    """Roll a version out; return the seconds it took."""
    began = time.monotonic()
    code = await run_command(
        fleet,
        'rollout',
        'start',
        MODEL,
        version,
        str(REPLICAS),
        f'--ready-in-s={LIMIT_S}',
        '--wait',
    )
    if code != exits.EXIT_OK:
        sys.exit(f'rollout of {version} ended with {code}')
    return time.monotonic() - began


async def confirm_twice(fleet: Fleet) -> list[str]:
    """Confirm a slot twice under one key; return what went wrong."""
    client = AsyncHTTPClient()
    base = f'http://127.0.0.1:{fleet.http_ports()[0]}'
    keys_url = f'{base}/v1/keys?service=booking'
    reply = await client.fetch(HTTPRequest(keys_url, method='POST', body=b''))
    key = json.loads(reply.body)['keys'][0]
    for port in fleet.http_ports():
        req = HTTPRequest(
            f'http://127.0.0.1:{port}/services/booking/confirm/7',
            method='POST',
            body=b'slot 7',
            headers={'X-Linnetwood-Key': key},
        )
        await client.fetch(req, raise_error=False)
    runs = f'http://127.0.0.1:{fleet.service_ports[0]}/fake/runs'
    counted = json.loads((await client.fetch(runs)).body)['runs']
    return [] if counted.get('slot 7') == 1 else [f'slot 7 ran {counted}']


def broken_promises(records: list[Record]) -> list[str]:
    """Return the promises that callers saw broken."""
    wrong = [
        f'wrong answer to {one.name}' for one in records if not one.correct
    ]
    cut = [
        f'{one.name} was cut: {one.code}'
        for one in records
        if one.outcome == 'cut'
    ]
    return wrong + cut


def report(
    rollouts_s: list[float], copies: float, records: list[Record]
) -> None:
    """Print the plain report."""
    counts = {
        outcome: sum(1 for one in records if one.outcome == outcome)
        for outcome in ('answered', 'not-run', 'unknown', 'cut')
    }
    firsts = [one.first_s for one in records if one.outcome == 'answered']
    print()
    print(
        f'time to {REPLICAS} replicas: v1 {rollouts_s[0]:.1f} s, '
        f'v2 {rollouts_s[1]:.1f} s'
    )
    print(f'copies read from the origin, both versions: {copies:.2f}')
    print(
        f'calls: {counts["answered"]} answered, {counts["not-run"]} not run, '
        f'{counts["unknown"]} unknown, {counts["cut"]} cut',
    )
    print(f'first token, 95 in 100: {percentile(firsts, 0.95):.3f} s')


async def run_rollouts(fleet: Fleet) -> list[str]:
    """Run both rollouts; return the promises that were broken."""
    rng = random.Random(7)
    weights = [rng.randbytes(SIZE), rng.randbytes(SIZE)]
    manifests = [await publish(fleet, one, CHUNK) for one in weights]
    path = pathlib.Path(fleet.folder, 'deployment.thrift')
    path.write_text(SCHEMA % tuple(manifests))
    await run_command(fleet, 'apply', str(path))
    caller = Caller(Traffic(fleet.http_ports(), MODEL, CALLS_PER_S))
    rollouts_s = [await rollout(fleet, 'v1')]
    caller.start()
    await asyncio.sleep(1)
    rollouts_s.append(await rollout(fleet, 'v2'))
    await asyncio.sleep(1)
    faults = await confirm_twice(fleet)
    await caller.close()
    read = (await origin_state(fleet))['bytes_read']
    report(rollouts_s, read / SIZE, caller.records)
    faults += broken_promises(caller.records)
    bad_loads = await engine_violations(fleet)
    if bad_loads:
        faults.append(f'engines saw {bad_loads} bad loads')
    return faults


def main() -> int:
    """Run the demo; return 0 only if every promise was kept."""
    fleet = Fleet(Plan(engines=6, services=1, entries=2))
    try:
        fleet.start()
        faults = asyncio.run(run_rollouts(fleet))
    finally:
        unclean = fleet.close()
    faults += [f'{vm} did not stop cleanly' for vm in unclean]
    for fault in faults:
        print(f'BROKEN: {fault}')
    print('a promise broke' if faults else 'every promise held')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
