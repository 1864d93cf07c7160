"""A program beside a model server freezes while it checks the pieces there."""

import asyncio
import signal

from review.standins.fleet import Case, run
from review.standins.weights import MODEL

# The longest freeze of the site file.
FREEZE_S = 4.0
ROT_AFTER_S = 0.2
# The piece that turns bad was checked before the one at which the freeze is.
ROTTEN = 5
FREEZE_AT = 40
# For each version another machine freezes, one a version. A freeze that hits
# between a request and its answer makes the program check again.
MACHINES = ('a1', 'b1', 'c1', 'a2', 'b2', 'c2', 'a1')
ALL = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')


async def play(case: Case) -> list[str]:
    """Name versions; freeze a program as it checks what lies there."""
    await case.start_small_site()
    for version, machine in enumerate(MACHINES, start=2):
        await _roll_out(case, version, machine)
        broken = await _call(case, version)
        if broken:
            return broken
    return []


async def _roll_out(case: Case, version: int, machine: str) -> None:
    server = f'i-{machine}'
    checked = len(case.seen('stage-get', server=server, index=FREEZE_AT))
    case.origin.newest = version
    named = {'model': MODEL, 'version': version}
    case.store.write(f'op/version/{MODEL}', named)
    case.note('named', {'version': version})
    await case.wait_for(
        lambda: (
            len(case.seen('stage-get', server=server, index=FREEZE_AT))
            > checked
        ),
        within_s=30,
    )
    if case.trouble:
        await _freeze(case, machine)
    await case.wait_for(
        lambda: len(case.seen('serves', version=version)) == len(ALL),
        within_s=30,
    )
    for one in ALL:
        zone = f'z{"abc".index(one[0]) + 1}'
        case.list_server(f'i-{one}', zone, 'pool', version=version)
    await asyncio.sleep(0.5)


async def _call(case: Case, version: int) -> list[str]:
    calls = [
        case.call(
            f'entry-{"abc"[number % 3]}',
            f'{(version << 16) + number:016x}',
            '/chat/x',
            10,
        )
        for number in range(36)
    ]
    await asyncio.gather(*calls)
    return [
        f'{row["call"]} ran at {row["server"]} on version {row["version"]}; '
        f'pieces that were wrong as the order was taken, and for how many '
        f'seconds: {row["wrong_pieces"]}'
        for row in case.seen('run')
        if row['wrong_pieces']
    ]


async def _freeze(case: Case, machine: str) -> None:
    case.send_signal(f'endpoint-{machine}', signal.SIGSTOP)
    await asyncio.sleep(ROT_AFTER_S)
    case.command(f'i-{machine}', f'rot {ROTTEN}')
    await asyncio.sleep(FREEZE_S - ROT_AFTER_S)
    case.send_signal(f'endpoint-{machine}', signal.SIGCONT)


run(__file__.rpartition('/')[0], play)
