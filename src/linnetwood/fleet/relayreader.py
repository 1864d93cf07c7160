"""Read the updates of a relay, and measure how late they arrive."""

import asyncio
from collections.abc import Callable

from linnetwood.core.errors import CodecError
from linnetwood.core.events import Event, log
from linnetwood.fleet import hosts
from linnetwood.fleet.freshness import RelayedUpdate
from linnetwood.fleet.mirror import Mirror
from linnetwood.fleet.rangecodec import (
    as_seconds,
    received_revision,
    unpack,
)
from linnetwood.fleet.ranges import Change
from linnetwood.fleet.revisions import era_of, number_of
from linnetwood.gen.wire.ttypes import HeldKey, RangePart, RangeRequest
from linnetwood.wire.codec import decode, encode
from linnetwood.wire.frames import Frame, FrameKind, FrameStream

# A relay that is silent for more than two heartbeats is left for another one.
SILENCE_TIMEOUT_S = 0.5
# Smaller updates carry load and warm-up changes: tens of log lines a second.
_LOGGED_FROM_BYTES = 4096

# Delays are measured from the last request. Clocks of two VMs drift apart by at
# most half a thousandth, 5 ms in this time.
_REQUEST_EVERY_S = 10.0
# A request that was read late makes all updates count as late until the next.
_REQUEST_EVERY_DELAYED_S = 1.0
_LARGE_DELAY_S = 0.1
_MILLISECONDS = 1000


def _no_delay(part: RangePart) -> float:
    """Count an update as sent just now."""
    return 0


class RelayReader:
    """Request updates from one relay, and read them."""

    def __init__(
        self,
        stream: FrameStream,
        mirror: Mirror,
        host: str,
        *,
        is_remote: bool = False,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        """Send no request yet; the mirror holds what patches apply to."""
        self._stream = stream
        self._mirror = mirror
        self._host = host
        self._is_remote = is_remote
        self._silence_timeout_s = silence_timeout_s
        self._request_count = 0
        self._last_request_at = float()
        self._last_delay_s = float()
        self._requested_at: dict[int, float] = {}

    async def request(self) -> None:
        """Request all changes that the mirror lacks, from now on."""
        mirror = self._mirror
        held_keys = [
            HeldKey(key, number_of(revision))
            for key, revision in mirror.held_revisions().items()
        ]
        request = RangeRequest(
            number_of(mirror.revision),
            self._is_remote,
            held_keys,
            era_of(mirror.revision),
            era_of(mirror.first_revision),
        )
        self._request_count += 1
        self._last_request_at = asyncio.get_running_loop().time()
        self._requested_at[self._request_count] = self._last_request_at
        await self._stream.write(FrameKind.RANGE_REQUEST, encode(request))

    async def read(self) -> RelayedUpdate:
        """Read an update; raise WireError, CodecError."""
        was_delayed = self._last_delay_s > _LARGE_DELAY_S
        request_every_s = (
            _REQUEST_EVERY_DELAYED_S if was_delayed else _REQUEST_EVERY_S
        )
        if (
            asyncio.get_running_loop().time() - self._last_request_at
            > request_every_s
        ):
            await self.request()
        return await read_update(
            self._stream,
            self._mirror,
            self._host,
            self._silence_timeout_s,
            self._delay_s,
        )

    def _delay_s(self, part: RangePart) -> float:
        """Return for how many seconds an update may have been on its way.

        The relay names the last request that it read and the time from there to
        the update. The update's ages don't include the time that it has waited
        since then in a queue, a buffer or a suspended process.
        """
        if part.asked_ms < 0:
            return _no_delay(part)
        earliest_at = min(self._requested_at.values())
        requested_at = self._requested_at.get(part.requests, earliest_at)
        if part.requests in self._requested_at:
            self._forget_before(part.requests)
        sent_at = requested_at + as_seconds(part.asked_ms)
        delay_s = max(0, asyncio.get_running_loop().time() - sent_at)
        self._last_delay_s = delay_s
        return delay_s

    def _forget_before(self, request: int) -> None:
        self._requested_at = {
            request_number: requested_at
            for request_number, requested_at in self._requested_at.items()
            if request_number >= request
        }


async def read_update(
    stream: FrameStream,
    mirror: Mirror | None = None,
    host: str = '',
    silence_timeout_s: float = SILENCE_TIMEOUT_S,
    measure_delay: Callable[[RangePart], float] = _no_delay,
) -> RelayedUpdate:
    """Read an update with its changes; raise WireError, CodecError.

    The mirror holds the payloads that patches apply to. Of an update that is
    not newer than the mirror no changes are returned, as the bases of its
    patches may be forgotten. The update's delay, in seconds, is added to all
    ages.
    """
    frame = await _expect(stream, FrameKind.RANGE_PART, silence_timeout_s)
    part = decode(RangePart, frame.payload)
    payload = b''
    if part.items:
        packed = await _expect(stream, FrameKind.RANGE_ITEMS, silence_timeout_s)
        payload = packed.payload
    # The whole update has arrived by now.
    delay_s = measure_delay(part)
    revision = received_revision(part.era, part.revision)
    changes: tuple[Change, ...] = ()
    if payload and (mirror is None or revision > mirror.revision):
        packed_age_ms = part.packed_ms + round(delay_s * _MILLISECONDS)
        changes = tuple(unpack(payload, packed_age_ms, mirror, part.era))
        if len(payload) > _LOGGED_FROM_BYTES:
            _log_large_update(part, payload, changes, mirror, host, delay_s)
    retained: tuple[Change, ...] = ()
    if part.retained:
        age_ms = round(delay_s * _MILLISECONDS)
        retained = tuple(unpack(part.retained, age_ms, era=part.retained_era))
    return RelayedUpdate(
        revision,
        as_seconds(part.age_ms) + delay_s,
        as_seconds(part.flow_age_ms) + delay_s,
        as_seconds(part.flowing_ms) + delay_s,
        part.outages,
        part.whole,
        changes,
        tuple(hosts.unpack(part.rather)),
        host,
        retained,
    )


def _log_large_update(
    part: RangePart,
    payload: bytes,
    changes: tuple[Change, ...],
    mirror: Mirror | None,
    host: str,
    delay_s: float,
) -> None:
    log(
        Event.NEWS_TAKEN,
        teller=host,
        asked=number_of(mirror.revision) if mirror else 0,
        got=part.revision,
        era=part.era,
        octets=len(payload),
        keys=len(changes),
        whole=part.whole,
        age_ms=part.age_ms,
        late_ms=round(delay_s * _MILLISECONDS),
    )


async def _expect(
    stream: FrameStream,
    kind: FrameKind,
    silence_timeout_s: float,
) -> Frame:
    frame = await stream.read_within(silence_timeout_s)
    if frame.kind is not kind:
        raise CodecError('unexpected-frame', frame.kind.name)
    return frame
