"""A fleet of the product's own processes comes back after all were lost."""

import unittest

from tests.rig import Rig, running

REPLICAS = 2


async def lose_everything(rig: Rig) -> None:
    """Stop every process, and let engines and service forget what they hold."""
    for entry in rig.entries:
        await entry.close()
    for endpoint in rig.endpoints:
        await endpoint.close()
    rig.entries.clear()
    rig.endpoints.clear()
    # Addresses of the processes before are of no use to new ones.
    rig.peers = ()


class ColdProductTest(unittest.IsolatedAsyncioTestCase):
    """Only the key-value service and the origin outlive the loss."""

    # The version to serve must be known from the configuration in the
    # key-value service, not from processes that served it.
    @running
    async def test_engines_serve_again_after_all_was_lost(
        self, rig: Rig
    ) -> None:
        """New processes and empty engines serve without an operator's call."""
        await rig.entry()
        for _ in range(REPLICAS):
            await rig.engine()
        await rig.apply(REPLICAS)
        await lose_everything(rig)
        await rig.entry()
        for _ in range(REPLICAS):
            await rig.engine()
        await rig.until(lambda: rig.serving() == REPLICAS)
        serving = {engine.serving for engine in rig.engines}
        self.assertEqual(serving, {rig.engines[0].serving})


if __name__ == '__main__':
    unittest.main()
