"""Downloads whose start meets an error that nobody expects."""

import asyncio
import unittest
from unittest import mock

from linnetwood.weights.fetching import ModelVersion, VersionDownloads
from tests.test_agent import Slot
from tests.test_follower import FakeEngine, FakeOrigin

AIM = ModelVersion('m', 2)
GUARD_S = 12


class DownloadStartTest(unittest.IsolatedAsyncioTestCase):
    """Let the first read of a manifest raise an error."""

    async def test_a_download_starts_after_an_error(self) -> None:
        """Guards against a version that is never fetched, unseen."""
        slot = Slot()
        self.addAsyncCleanup(slot.agent.close)
        has_started = asyncio.Event()
        fetching = VersionDownloads(
            slot.agent._tools, FakeEngine(), FakeOrigin(), 1, has_started.set
        )
        self.addAsyncCleanup(fetching.close)
        found = await fetching._manifest(AIM)
        failing = mock.AsyncMock(side_effect=(ZeroDivisionError, found, found))
        with mock.patch.object(fetching, '_manifest', failing):
            async with asyncio.timeout(GUARD_S):
                while not has_started.is_set():
                    await fetching.fetch_only((AIM,))
                    await asyncio.sleep(0.01)
        self.assertIsNotNone(fetching.get(AIM))
        self.assertEqual(failing.await_count, 2)


if __name__ == '__main__':
    unittest.main()
