"""Guard against clients outside the limits that end or block a process.

In a trial such clients ended a process: it ran out of memory, as many of them
read long answers slowly. Each crowd and each bound here is fixed: the bounds
are what the settings of the process allow it.
"""

import asyncio
import unittest

from linnetwood.core.sizes import MIB
from linnetwood.programs.metricspage import PORT as METRICS_PORT
from tests.crowd_rig import (
    CALLERS_PORT,
    CONNECTIONS,
    FILE_DESCRIPTORS,
    HOST_NAME,
    LARGE,
    MEMORY_BYTES,
    READY_PORT,
    SERVED_WITHIN_S,
    STREAM,
    WIRE_PORT,
    CrowdRig,
    Program,
)
from tests.crowds import Crowd, request

# The crowds.
READERS = 250
PIPELINING = 60
PIPELINED = 400
TALKERS = 100
IDLE = 900
UPLOADS = 40
# What an upload announces, and how much of it is sent.
ANNOUNCED = 90 * MIB
UPLOADED = 8 * MIB
# A frame of almost the largest size, as its header announces it.
FRAMES = 60
FRAME_BYTES = 4 * MIB
FRAME_SENT = 3 * MIB
CHUNK_REQUEST = 6
# Read slowly: 640 bytes a second, and 40 KB a second.
PAUSE_S = 0.1
TRICKLE_BYTES = 64
SLOW_BYTES = 4096
# How long a crowd stays before an ordinary request is sent beside it.
STAY_S = 6.0

ASKS_LONG = request(
    LARGE, HOST_NAME, ('X-Deadline-Ms: 60000', 'X-Attempt-Id: c')
)
ASKS_STREAM = request(
    STREAM, HOST_NAME, ('X-Deadline-Ms: 60000', 'X-Attempt-Id: c')
)
PART_OF_A_HEAD = ASKS_LONG[:40]
UPLOAD = request(
    '/', HOST_NAME, (f'Content-Length: {ANNOUNCED}',), method='POST'
)
FRAME = FRAME_BYTES.to_bytes(4, 'big') + bytes((CHUNK_REQUEST,))


class Crowded(unittest.IsolatedAsyncioTestCase):
    """Bring a crowd to one process, and judge what the process uses."""

    starts_processes = True
    runs_alone = True

    async def asyncSetUp(self) -> None:
        self.rig = CrowdRig()
        self.addAsyncCleanup(self.rig.close)
        await self.rig.start()
        self.program = await self.start()

    async def start(self) -> Program:
        """Start the process."""
        return await self.rig.start_entry()

    def crowd(self, port: int) -> Crowd:
        """Return a crowd without connections."""
        crowd = Crowd((self.rig.host, port))
        self.addAsyncCleanup(crowd.close)
        return crowd

    async def is_served(self) -> bool:
        """Return whether one ordinary request is answered."""
        return await self.rig.is_served()

    async def judge(self, crowd: Crowd) -> None:
        """Check the process beside the crowd, and again without it."""
        self.assertGreater(crowd.size, 0)
        await asyncio.sleep(STAY_S)
        await self.assert_served('beside the crowd')
        await crowd.close()
        await self.assert_served('after the crowd')
        self.assert_within_limits()

    async def assert_served(self, when: str) -> None:
        """Check that an ordinary request is answered, if not at once."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SERVED_WITHIN_S
        while not await self.is_served():
            if not self.program.lives or loop.time() > until:
                self.assert_within_limits()
                self.fail(f'no ordinary request is answered {when}')
            await asyncio.sleep(PAUSE_S)

    def assert_within_limits(self) -> None:
        """Check what the process was seen to use at the most."""
        self.assertTrue(self.program.lives)
        highest = self.program.highest
        self.assertLessEqual(self.program.peak_memory, MEMORY_BYTES, highest)
        self.assertLessEqual(highest.connections, CONNECTIONS, highest)
        self.assertLess(highest.descriptors, FILE_DESCRIPTORS, highest)


class ReadersTest(Crowded):
    """Callers that ask for long answers and read them slowly, or not."""

    async def ask(self, asked: bytes, count: int = READERS) -> Crowd:
        """Let a crowd ask for answers."""
        crowd = self.crowd(CALLERS_PORT)
        await crowd.connect(count, asked)
        return crowd

    async def test_long_answers_unread(self) -> None:
        """The answers are 8 MiB each, 250 at once."""
        await self.judge(await self.ask(ASKS_LONG))

    async def test_long_answers_read_at_a_trickle(self) -> None:
        """Each client takes 640 bytes a second."""
        crowd = await self.ask(ASKS_LONG)
        crowd.read_slowly(TRICKLE_BYTES, PAUSE_S)
        await self.judge(crowd)

    async def test_long_answers_read_slowly(self) -> None:
        """Each client takes 40 KB a second."""
        crowd = await self.ask(ASKS_LONG)
        crowd.read_slowly(SLOW_BYTES, PAUSE_S)
        await self.judge(crowd)

    async def test_streams_unread(self) -> None:
        """The streams are 8 MiB each, 250 at once."""
        await self.judge(await self.ask(ASKS_STREAM))

    async def test_streams_read_at_a_trickle(self) -> None:
        """Each client takes 640 bytes a second."""
        crowd = await self.ask(ASKS_STREAM)
        crowd.read_slowly(TRICKLE_BYTES, PAUSE_S)
        await self.judge(crowd)

    async def test_pipelined_requests(self) -> None:
        """Each of 60 clients sends 400 requests at once, and reads slowly."""
        crowd = await self.ask(ASKS_LONG * PIPELINED, PIPELINING)
        crowd.read_slowly(TRICKLE_BYTES, PAUSE_S)
        await self.judge(crowd)

    async def test_bytes_without_pause(self) -> None:
        """Each of 100 clients asks once, then sends on and reads nothing."""
        crowd = await self.ask(ASKS_LONG, TALKERS)
        crowd.send_endlessly(UPLOADED)
        await self.judge(crowd)


class ConnectionsTest(Crowded):
    """Clients that only connect, at each listener of an entry."""

    async def assert_bounded(self, port: int, sent: bytes = b'') -> None:
        """Check the process beside a crowd that sends nothing more."""
        crowd = self.crowd(port)
        await crowd.connect(IDLE, sent)
        await self.judge(crowd)

    async def test_idle_callers(self) -> None:
        """Nothing is sent."""
        await self.assert_bounded(CALLERS_PORT)

    async def test_callers_within_a_head(self) -> None:
        """A part of a head is sent."""
        await self.assert_bounded(CALLERS_PORT, PART_OF_A_HEAD)

    async def test_idle_balancers(self) -> None:
        """The port of the readiness checks."""
        await self.assert_bounded(READY_PORT)
        self.assertTrue(await self.rig.is_ready())

    async def test_idle_collectors(self) -> None:
        """The port of the metrics."""
        await self.assert_bounded(METRICS_PORT)
        self.assertTrue(await self.rig.has_metrics())

    async def test_idle_processes(self) -> None:
        """The port between the system's processes."""
        await self.assert_bounded(WIRE_PORT)


class UploadsTest(Crowded):
    """Clients that send more than a listener has any use for."""

    async def assert_bounded(
        self, port: int, sent: bytes, count: int, size: int
    ) -> None:
        """Check the process beside a crowd that sends on."""
        crowd = self.crowd(port)
        await crowd.connect(count, sent)
        crowd.send_endlessly(size)
        await self.judge(crowd)

    async def test_bodies_of_readiness_checks(self) -> None:
        """Of 90 MiB as announced, 8 MiB are sent."""
        await self.assert_bounded(READY_PORT, UPLOAD, UPLOADS, UPLOADED)
        self.assertTrue(await self.rig.is_ready())

    async def test_bodies_at_the_metrics(self) -> None:
        """Of 90 MiB as announced, 8 MiB are sent."""
        await self.assert_bounded(METRICS_PORT, UPLOAD, UPLOADS, UPLOADED)
        self.assertTrue(await self.rig.has_metrics())

    async def test_bodies_of_callers(self) -> None:
        """Of 90 MiB as announced, 8 MiB are sent."""
        await self.assert_bounded(CALLERS_PORT, UPLOAD, UPLOADS, UPLOADED)

    async def test_frames_between_processes(self) -> None:
        """Of a frame of 4 MiB 3 MiB are sent."""
        await self.assert_bounded(WIRE_PORT, FRAME, FRAMES, FRAME_SENT)


class EndpointTest(Crowded):
    """Clients at each listener of an endpoint process."""

    async def start(self) -> Program:
        """Start the process."""
        return await self.rig.start_endpoint()

    async def is_served(self) -> bool:
        """Return whether the process shows its metrics."""
        return await self.rig.has_metrics()

    async def test_idle_processes(self) -> None:
        """Nothing is sent at the port between the system's processes."""
        crowd = self.crowd(WIRE_PORT)
        await crowd.connect(IDLE)
        await self.judge(crowd)

    async def test_idle_collectors(self) -> None:
        """Nothing is sent at the port of the metrics."""
        crowd = self.crowd(METRICS_PORT)
        await crowd.connect(IDLE)
        await self.judge(crowd)

    async def test_frames_between_processes(self) -> None:
        """Of a frame of 4 MiB 3 MiB are sent."""
        crowd = self.crowd(WIRE_PORT)
        await crowd.connect(FRAMES, FRAME)
        crowd.send_endlessly(FRAME_SENT)
        await self.judge(crowd)

    async def test_bodies_at_the_metrics(self) -> None:
        """Of 90 MiB as announced, 8 MiB are sent."""
        crowd = self.crowd(METRICS_PORT)
        await crowd.connect(UPLOADS, UPLOAD)
        crowd.send_endlessly(UPLOADED)
        await self.judge(crowd)


if __name__ == '__main__':
    unittest.main()
