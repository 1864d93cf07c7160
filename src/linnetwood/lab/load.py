"""Call entries as callers would, and check every answer."""

import asyncio
import dataclasses
import json
import signal
import sys
import time
from random import Random

import defopt
from tornado.httpclient import HTTPRequest, HTTPResponse

from linnetwood.calls.basehandler import CODE_HEADER, OUTCOME_HEADER
from linnetwood.calls.callhandler import (
    DEADLINE_HEADER,
    ORGANISATION_HEADER,
    VERSION_HEADER,
)
from linnetwood.lab.fakeengine import token
from linnetwood.wire.http import fetch, open_client

_OK = 200
_CLIENTS = 4096
_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class Record:
    """The outcome of one call, as its caller saw it; times in seconds."""

    name: str
    started_at: float
    first_s: float = 0
    whole_s: float = 0
    outcome: str = ''
    code: str = ''
    version: str = ''
    correct: bool = True
    gaps_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Calls to send, at random intervals with a constant mean rate."""

    ports: list[int]
    model: str
    calls_per_s: float
    tokens: int = 16
    deadline_s: float = 20.0
    seed: int = 0
    organisation: str = ''


class _Answer:
    """Collect the pieces of an answer, with their times."""

    __slots__ = ('pieces', 'times')

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.times: list[float] = []

    def add(self, piece: bytes) -> None:
        """Add one piece."""
        self.times.append(time.monotonic())
        self.pieces.append(piece)


class Caller:
    """Send calls and keep their records."""

    def __init__(self, traffic: Traffic) -> None:
        """Start without calls."""
        self.records: list[Record] = []
        self._traffic = traffic
        self._rng = Random(traffic.seed)
        self._client = open_client(_CLIENTS)
        self._tasks: set[asyncio.Task[Record]] = set()
        self._running: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to send."""
        self._running = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending, and wait for calls in progress."""
        if self._running is not None:
            self._running.cancel()
        await asyncio.gather(*self._tasks)
        self._client.close()

    async def call(self, name: str) -> Record:
        """Send one call and check its answer."""
        traffic = self._traffic
        record = Record(name, time.monotonic())
        self.records.append(record)
        answer = _Answer()
        port = self._rng.choice(traffic.ports)
        body = {
            'model': traffic.model,
            'prompt': name,
            'max_tokens': traffic.tokens,
        }
        req = HTTPRequest(
            f'http://127.0.0.1:{port}/v1/completions',
            method='POST',
            body=json.dumps(body),
            headers={
                DEADLINE_HEADER: str(int(traffic.deadline_s * _MILLISECONDS)),
                ORGANISATION_HEADER: traffic.organisation,
            },
            streaming_callback=answer.add,
            request_timeout=traffic.deadline_s + 5,
        )
        reply = await fetch(self._client, req)
        _record_outcome(record, reply, answer.times)
        _check_answer(record, b''.join(answer.pieces), traffic.tokens)
        return record

    async def _run(self) -> None:
        number = 0
        due = time.monotonic()
        while True:
            due += self._rng.expovariate(self._traffic.calls_per_s)
            await asyncio.sleep(max(0, due - time.monotonic()))
            number += 1
            task = asyncio.create_task(self.call(f'call {number}'))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


def _record_outcome(
    record: Record,
    reply: HTTPResponse,
    times: list[float],
) -> None:
    record.whole_s = time.monotonic() - record.started_at
    record.outcome = 'answered' if reply.code == _OK else 'cut'
    record.outcome = reply.headers.get(OUTCOME_HEADER, record.outcome)
    record.code = reply.headers.get(CODE_HEADER, '')
    record.version = reply.headers.get(VERSION_HEADER, '')
    if times:
        record.first_s = times[0] - record.started_at
        record.gaps_s = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]
    if record.outcome == 'cut':
        record.code = str(reply.error)


def _check_answer(record: Record, body: bytes, tokens: int) -> None:
    if record.outcome != 'answered':
        return
    expected = ''.join(
        f'data: {token(record.version, record.name, index)}\n\n'
        for index in range(tokens)
    )
    record.correct = body.decode() == f'{expected}data: [DONE]\n\n'


def percentile(found: list[float], share: float) -> float:
    """Return the value below which a share of them lies; 0 without any."""
    if not found:
        return 0
    ordered = sorted(found)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def send(
    *,
    ports: list[int],
    model: str,
    calls_per_s: float,
    tokens: int = 16,
    deadline_s: float = 60.0,
    seed: int = 0,
) -> None:
    """Send calls until SIGTERM; then print how many had wrong answers.

    :param ports: ports of the entries
    :param model: the model to call
    :param calls_per_s: mean rate
    :param tokens: tokens of each answer
    :param deadline_s: deadline of each call
    :param seed: seed of the arrival times
    """
    traffic = Traffic(ports, model, calls_per_s, tokens, deadline_s, seed)
    asyncio.run(_send(traffic))


async def _send(traffic: Traffic) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    caller = Caller(traffic)
    caller.start()
    await stop.wait()
    await caller.close()
    wrong = sum(1 for one in caller.records if not one.correct)
    tokens = sum(len(one.gaps_s) + 1 for one in caller.records)
    spans = [one.started_at + one.whole_s for one in caller.records]
    began = min(one.started_at for one in caller.records)
    found = {
        'calls': len(caller.records),
        'wrong': wrong,
        'cut': sum(1 for one in caller.records if one.outcome == 'cut'),
        'tokens_per_s': tokens / (max(spans) - began),
    }
    sys.stdout.write(json.dumps(found))


if __name__ == '__main__':
    defopt.run(send)
