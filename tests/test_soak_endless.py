"""Test the answers without end of the soak, and their check."""

import asyncio
import contextlib
import io
import json
import pathlib
import socket
import tempfile
import unittest

from linnetwood.lab.soak.checks import Checker
from linnetwood.lab.soak.endless import (
    EndlessAnswers,
    Framing,
    Order,
    hand_over,
)
from linnetwood.lab.soak.endlesschecks import add_endless
from linnetwood.lab.soak.history import Call, CallKind, History, Run
from linnetwood.lab.soak.limits import Limits

AT = 1000.0
HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: c'
CALL = Call('c', CallKind.STREAM, 'e', '/chat/x', AT, 6)
RUN = Run('c', 'i', 'pool', AT, 1, 4000, 's')
MEBIBYTE = 1 << 20


class EndlessCheckTest(unittest.TestCase):
    """Check histories with an answer without end."""

    # Guards against an entry that takes an answer until its memory ends.
    def test_bytes_taken(self) -> None:
        """An event and an answer have a limit, beside the socket buffers."""
        for kind, framing, taken, is_violation in (
            (CallKind.STREAM, 'body', 9, False),
            (CallKind.STREAM, 'body', 10, True),
            (CallKind.STREAM, 'chunks', 10, True),
            (CallKind.STREAM, 'small chunks', 24, False),
            (CallKind.STREAM, 'fields', 25, True),
            (CallKind.IDEMPOTENT, 'body', 24, False),
            (CallKind.IDEMPOTENT, 'body', 25, True),
        ):
            with self.subTest(kind=kind, framing=framing, taken=taken):
                call = Call('c', kind, 'e', '/x', AT, 6)
                history = History([call], [RUN])
                row = {
                    'call_id': 'c',
                    'server': 'i',
                    'framing': framing,
                    'at': AT,
                    'until': AT + 2,
                    'taken': taken * MEBIBYTE,
                }
                add_endless(history, [json.dumps(row)])
                self.assertEqual(history.runs[0].ended_at, AT + 2)
                found = Checker(history, Limits()).violations()
                rules = {one.split(' ')[0] for one in found}
                self.assertEqual('ENDLESS' in rules, is_violation)


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Hand connections over."""

    # Guards against a soak whose endless answers end, or are not recorded.
    async def test_framings(self) -> None:
        """Each answer goes on until its caller closes, and is recorded."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = str(pathlib.Path(folder.name) / 'endless.sock')
        answers = EndlessAnswers(path)
        answers.start()
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            for framing in Framing:
                await self.read_answer(path, framing)
            await answers.close()
        rows = [json.loads(line) for line in printed.getvalue().splitlines()]
        self.assertEqual(
            {row['framing'] for row in rows}, {one.value for one in Framing}
        )
        self.assertGreater(min(row['taken'] for row in rows), 0)

    async def read_answer(self, path: str, framing: Framing) -> None:
        """Read the beginning of an answer, and close its connection."""
        mine, theirs = socket.socketpair()
        hand_over(path, Order('c', 'i', framing.value, HEAD), theirs)
        theirs.close()
        reader, writer = await asyncio.open_connection(sock=mine)
        text = await reader.readexactly(MEBIBYTE)
        is_interim = framing is Framing.INTERIM
        start = b'HTTP/1.1 100' if is_interim else HEAD.encode()
        self.assertTrue(text.startswith(start))
        has_head = framing not in {Framing.LINE, Framing.FIELDS}
        self.assertEqual(b'\r\n\r\n' in text, has_head)
        writer.close()


if __name__ == '__main__':
    unittest.main()
