"""What endpoints say of themselves is heeded by the entry that hears it."""

import unittest

from linnetwood.calls.routetable import Repeat
from linnetwood.core.outcomes import Outcome
from tests import test_direct
from tests.test_curldriver import Behaviour, says
from tests.test_direct import GOOD, ID, SIGNED, answer

LEAVING = answer(f'200 OK\r\n{SIGNED}Server-Leaving: 1\r\n', b'fine')
NOT_RUN = f'503 No\r\n{ID}X-Not-Executed: 1\r\n'
ASKS_FOR_REST = answer(f'{NOT_RUN}Retry-After: 3\r\n', b'')
CALLS = 6


class NoticesHeededTest(unittest.IsolatedAsyncioTestCase):
    """Two endpoints, the first of which is the better choice."""

    async def asyncSetUp(self) -> None:
        self.direct = test_direct.DirectTest()
        await self.direct.asyncSetUp()

    async def asyncTearDown(self) -> None:
        await self.direct.asyncTearDown()

    async def call_counts(self, first: Behaviour) -> list[int]:
        """Give how many calls each endpoint gets of some in a row."""
        await self.direct.serve(first, says(GOOD))
        for _ in range(CALLS):
            await self.direct.call(Repeat.NEVER)
        return [len(server.requests) for server in self.direct.servers]

    async def test_an_endpoint_that_says_it_leaves_gets_no_more(self) -> None:
        """Guard against new work for one whose answers say that it leaves."""
        self.assertEqual(await self.call_counts(says(LEAVING)), [1, CALLS - 1])

    async def test_an_endpoint_that_asks_for_rest_gets_it(self) -> None:
        """Guard against calls that come back during the rest asked for."""
        self.assertEqual(
            await self.call_counts(says(ASKS_FOR_REST)), [1, CALLS]
        )

    async def test_nobody_left_says_when_one_may_be_asked_again(self) -> None:
        """Guard against callers asked back while all endpoints rest."""
        await self.direct.serve(says(ASKS_FOR_REST))
        await self.direct.call(Repeat.NEVER)
        ending, _ = await self.direct.call(Repeat.NEVER)
        self.assertIs(ending.outcome, Outcome.NOT_RUN)
        self.assertGreater(ending.retry_after_ms, 1000)
        self.assertLessEqual(ending.retry_after_ms, 3000)
        self.assertEqual(len(self.direct.servers[0].requests), 1)


if __name__ == '__main__':
    unittest.main()
