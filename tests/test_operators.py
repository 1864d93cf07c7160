"""Operators over real sockets: commands, refusals, strangers."""

import asyncio
import unittest
from functools import partial
from typing import Any

from linnetwood.gen.schema.ttypes import (
    Answer,
    Deployment,
    Intent,
    Refusal,
    Verdict,
)
from linnetwood.programs import cli, exits
from tests.rig import Rig, running


def apply_empty(name: str, calls: Any) -> Answer:
    """Propose an empty deployment based on revision 0."""
    found: Answer = calls.apply(Deployment(), 0, name, f'operator {name}')
    return found


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """What operators may do, and what is refused."""

    @running
    async def test_refusals(self, rig: Rig) -> None:
        """Every refusal of docs/REFUSALS.md for operators' calls."""
        await rig.entry()
        bad = Deployment(intents=[Intent(model='m', version='v', replicas=1)])
        cases = (
            (lambda calls: calls.apply(bad, 0, 'op', 'asha'), 'bad-deployment'),
            (
                lambda calls: calls.apply(Deployment(), 0, '', 'asha'),
                'bad-request',
            ),
            (
                lambda calls: calls.cancelRollout('m', 0, 'op', 'asha'),
                'no-rollout',
            ),
            (lambda calls: calls.drain('vm-9', 'asha'), 'unknown-vm'),
        )
        for act, code in cases:
            with self.subTest(code), self.assertRaises(Refusal) as caught:
                await rig.operate(act)
            self.assertEqual(caught.exception.code, code)

    @running
    async def test_overtaken_change_hears_by_whom(self, rig: Rig) -> None:
        """Nothing is silently overwritten."""
        await rig.entry()
        await rig.entry()
        first = partial(apply_empty, 'one')
        second = partial(apply_empty, 'two')
        await rig.operate(first, number=0)
        answer = await rig.operate(second, number=1)
        self.assertEqual(
            (answer.verdict, answer.code, answer.since[0].operator_name),
            (Verdict.REFUSED, 'overtaken', 'operator one'),
        )

    @running
    async def test_lost_answer(self, rig: Rig) -> None:
        """A write whose answer was lost is settled, through any entry."""
        await rig.entry()
        rig.kv.lose_answers = 1
        answer = await rig.operate(
            lambda calls: calls.apply(Deployment(), 0, 'op', 'asha'),
        )
        self.assertEqual(answer.verdict, Verdict.ACCEPTED)
        await rig.entry()
        settled = await rig.operate(lambda calls: calls.settle('op'), number=1)
        self.assertEqual(settled.verdict, Verdict.ACCEPTED)

    @running
    async def test_commands(self, rig: Rig) -> None:
        """Commands end with their documented exit codes."""
        await rig.entry()
        await rig.engine()
        await rig.apply(1)
        rollout = ('rollout', 'start', 'sevak')
        cases = (
            (('status',), exits.EXIT_OK),
            (('status', '--json'), exits.EXIT_OK),
            (('endpoint', 'list'), exits.EXIT_OK),
            (('config', 'history'), exits.EXIT_OK),
            (('config', 'show'), exits.EXIT_OK),
            (('config', 'show', '--json'), exits.EXIT_OK),
            (('settle', 'op-1'), exits.EXIT_OK),
            (('settle', 'op-0'), exits.EXIT_REFUSED),
            ((*rollout, 'v1', '1', '--wait'), exits.EXIT_OK),
            ((*rollout, 'v9', '1'), exits.EXIT_REFUSED),
            ((*rollout, 'v1', '1', '--weigh=speed'), exits.EXIT_BAD_INPUT),
            (('rollout', 'status', 'none'), exits.EXIT_BAD_INPUT),
            (('rollout', 'cancel', 'sevak'), exits.EXIT_OK),
            (('endpoint', 'drain', 'vm-9'), exits.EXIT_REFUSED),
        )
        for args, code in cases:
            with self.subTest(args):
                self.assertEqual(await rig.command(*args), code)

    async def test_unreachable_entry(self) -> None:
        """An entry that is not there has an exit code of its own."""
        code = await asyncio.to_thread(
            cli.run,
            ['status', '--entry=127.0.0.1:9'],
        )
        self.assertEqual(code, exits.EXIT_UNREACHABLE)

    @running
    async def test_strangers(self, rig: Rig) -> None:
        """Garbage and oversized calls end their own connection only."""
        await rig.entry()
        port = rig._http[rig.entries[0]][1]
        for garbage in (b'\xff' * 8, b'\x00\x00\x00\x04abcd'):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(garbage)
            self.assertEqual(await reader.read(), b'')
            writer.close()
        found = await rig.operate(lambda calls: calls.status())
        self.assertEqual(found.entries, 1)


if __name__ == '__main__':
    unittest.main()
