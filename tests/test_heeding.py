"""An entry acts on what endpoints report about themselves in answers."""

import unittest

from linnetwood.calls.routetable import Repeat
from linnetwood.core.outcomes import Outcome
from tests import test_direct
from tests.direct_calls import GOOD, ID, SIGNED, answer
from tests.test_curldriver import Behaviour, respond_with

LEAVING = answer(f'200 OK\r\n{SIGNED}Server-Leaving: 1\r\n', b'fine')
NOT_RUN = f'503 No\r\n{ID}X-Not-Executed: 1\r\n'
ASKS_FOR_REST = answer(f'{NOT_RUN}Retry-After: 3\r\n', b'')
CALLS = 6


class EndpointNoticesTest(unittest.IsolatedAsyncioTestCase):
    """Run calls at two endpoints, the first of which is preferred."""

    async def asyncSetUp(self) -> None:
        self.direct = test_direct.DirectTest()
        await self.direct.asyncSetUp()

    async def asyncTearDown(self) -> None:
        await self.direct.asyncTearDown()

    async def call_counts(self, first: Behaviour) -> list[int]:
        """Return how many of several calls in a row each endpoint gets."""
        await self.direct.serve(first, respond_with(GOOD))
        for _ in range(CALLS):
            await self.direct.call(Repeat.NEVER)
        return [len(server.requests) for server in self.direct.servers]

    async def test_leaving_endpoint_gets_no_more_calls(self) -> None:
        """Guard against new calls to an endpoint that reports its departure."""
        self.assertEqual(
            await self.call_counts(respond_with(LEAVING)), [1, CALLS - 1]
        )

    async def test_endpoint_gets_no_calls_during_a_requested_rest(self) -> None:
        """Guard against calls sent again during the rest that it asked for."""
        self.assertEqual(
            await self.call_counts(respond_with(ASKS_FOR_REST)), [1, CALLS]
        )

    async def test_retry_delay_covers_the_rest_of_all_endpoints(self) -> None:
        """Guard against callers told to retry while all endpoints rest."""
        await self.direct.serve(respond_with(ASKS_FOR_REST))
        await self.direct.call(Repeat.NEVER)
        ending, _ = await self.direct.call(Repeat.NEVER)
        self.assertIs(ending.outcome, Outcome.NOT_RUN)
        self.assertGreater(ending.retry_after_ms, 1000)
        self.assertLessEqual(ending.retry_after_ms, 3000)
        self.assertEqual(len(self.direct.servers[0].requests), 1)


if __name__ == '__main__':
    unittest.main()
