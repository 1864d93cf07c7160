"""Estimate the rate and the backlog of this VM's inbound link.

No I/O or clock inside.
"""

import collections

# Backlog allowed beyond the one chunk that is always allowed. Calls to the
# engine of this VM queue behind it; entries allow them 0.8 s to arrive and
# start.
_EXTRA_BACKLOG_S = 0.4
# Number of chunks of which the fastest gives the rate of the link; slow senders
# lengthen the others. Equals the chunks requested from peers at the same time
# on the narrowest links.
_SAMPLE_COUNT = 3
# Share of a decrease of the link delay that is applied with each report, so
# that a moment between two chunks does not count as an idle link.
_DECREASE_SHARE = 0.3
# Older measurements are ignored when there are newer ones, since the bandwidth
# of the link may have dropped.
_RECENT_S = 1.5
# A chunk received within this time shows that nothing else queues on the link.
_QUICK_CHUNK_S = 0.3
# A link that has brought nothing for _STALL_S while requests to peers time out
# has an unknown backlog; its reported delay is then at least _STALL_DELAY_S, as
# long as calls were seen to wait.
_STALL_S = 0.8
_STALL_DELAY_S = 2.0
# After this time without pending chunks a suspicion of congestion ends.
_IDLE_S = 1.0

_TimedSpans = collections.deque[tuple[float, float]]


def _recent_minimum(spans: _TimedSpans, now: float) -> float:
    """Give the least of the recent spans, or of all if none is recent."""
    recent = [span_s for at, span_s in spans if now - at <= _RECENT_S]
    return min(recent or [span_s for _, span_s in spans], default=0)


class InFlightChunk:
    """A chunk that was requested and has not been received."""

    __slots__ = ('flowing_since', 'received_before', 'sampled', 'since')

    def __init__(
        self, since: float, received_before: int, *, sampled: bool
    ) -> None:
        """Keep the request's time and the count of chunks received by then.

        If sampled, the chunk's time counts for the rate of the link.
        """
        self.since = since
        # Until its first byte is seen, it may have flowed since the request.
        self.flowing_since = since
        self.received_before = received_before
        self.sampled = sampled


class InboundLink:
    """Hold the chunks in flight to this VM, and estimate the link's rate.

    All downloads of a VM share one instance, since they share its link.
    """

    def __init__(self) -> None:
        """Start without any measurement."""
        self._received_count = 0
        self._link_delay_s = float()
        self._in_flight: set[InFlightChunk] = set()
        self._unmeasured: list[tuple[InFlightChunk, int]] = []
        self._abandoned: list[InFlightChunk] = []
        self._timed_out_until: list[float] = []
        # Seconds for a peer's chunk, each with the time of its measurement.
        self._peer_paces: _TimedSpans = collections.deque(maxlen=_SAMPLE_COUNT)
        self._paces: collections.deque[float] = collections.deque(
            maxlen=_SAMPLE_COUNT,
        )
        self._durations: _TimedSpans = collections.deque(maxlen=_SAMPLE_COUNT)
        # True after a request to a peer until a chunk shows an idle link.
        self._suspects_congestion = False
        self._suspected_since = float()
        self._no_data_since = float()
        self._peer_awaited_at = float()
        self._busy_at = float()

    @property
    def chunk_s(self) -> float:
        """Give the seconds that the link needs for a chunk; 0 if unknown."""
        return min((span_s for _, span_s in self._peer_paces), default=0)

    @property
    def backlog_s(self) -> float:
        """Give the seconds that the link needs for all pending chunks."""
        return self.chunk_s * self._pending_count

    @property
    def backlog_with_origin_s(self) -> float:
        """Give the seconds for all pending chunks, by all sources' chunks.

        The origin's chunks count here: where they are slow as well, the cause
        may be this link, and requested chunks wait behind them.
        """
        return min(self._paces, default=0) * self._pending_count

    def update_link_delay_s(self, now: float) -> float:
        """Give how long other traffic may queue on this link, smoothed, in s.

        An increase is reported at once. Call it once for each report.
        """
        self.update(now)
        if self._peer_paces:
            delay_s = self._measured_delay_s(now)
        else:
            # Requests to peers that sent nothing may have timed out by now, but
            # the link is no less busy for that.
            suspected_s = (
                now - self._no_data_since if self._suspects_congestion else 0
            )
            delay_s = max(self._oldest_age_s(now), suspected_s)
        share = _DECREASE_SHARE if delay_s < self._link_delay_s else 1
        self._link_delay_s += share * (delay_s - self._link_delay_s)
        return self._link_delay_s

    def record_request(
        self, now: float, *, sampled: bool = True
    ) -> InFlightChunk:
        """Record a request for a chunk.

        Its time is a sample of this link, unless others share the sender's.
        """
        self._busy_at = now
        if sampled:
            self._peer_awaited_at = now
            self._suspect_congestion(now)
        chunk = InFlightChunk(now, self._received_count, sampled=sampled)
        self._in_flight.add(chunk)
        return chunk

    def record_first_byte(self, chunk: InFlightChunk, now: float) -> None:
        """Record a chunk's first byte: until now it waited for its sender."""
        chunk.flowing_since = now
        chunk.received_before = self._received_count
        self._no_data_since = now

    def record_received(self, chunk: InFlightChunk) -> None:
        """Record a received chunk; the next update gives it its time."""
        if chunk in self._in_flight:
            self._in_flight.remove(chunk)
            self._received_count += 1
            self._unmeasured.append((chunk, self._received_count))

    def record_failed(self, chunk: InFlightChunk) -> None:
        """Record that a chunk will not be received."""
        self._in_flight.discard(chunk)

    def record_abandoned(self, chunk: InFlightChunk) -> None:
        """Record that a chunk's sender was abandoned; it may still arrive.

        The next update gives it its time, as for received chunks.
        """
        if chunk in self._in_flight:
            self._in_flight.remove(chunk)
            self._abandoned.append(chunk)

    def record_timeout(self, now: float) -> None:
        """Record that a chunk timed out; it may still arrive."""
        pace_s = min(self._paces, default=0)
        self._timed_out_until.append(now + self.backlog_with_origin_s + pace_s)

    def update(self, now: float) -> None:
        """Measure received chunks; forget timed-out ones that are overdue.

        The count of chunks received while one flowed gives the rate of the
        link if the link was the bottleneck, and a lower rate if senders were.
        """
        self._clear_suspicion_if_idle(now)
        for chunk, received_count in self._unmeasured:
            took_s = now - chunk.since
            self._durations.append((now, took_s))
            flowed_s = now - chunk.flowing_since
            pace_s = flowed_s / (received_count - chunk.received_before)
            self._paces.append(pace_s)
            if chunk.sampled:
                self._peer_paces.append((now, pace_s))
            self._no_data_since = now
            # From now on only pending chunks of peers may show congestion.
            if chunk.sampled or took_s < _QUICK_CHUNK_S:
                self._suspects_congestion = any(
                    pending.sampled for pending in self._in_flight
                )
        self._unmeasured.clear()
        while self._abandoned:
            self._abandoned.pop()
            self.record_timeout(now)
        self._timed_out_until = [
            until for until in self._timed_out_until if until > now
        ]

    def request_budget(self, unmeasured: int) -> int:
        """Give how many more chunks may be requested.

        :param unmeasured: chunks allowed in flight until the link is measured
        """
        allowed = unmeasured
        chunk_s = self.chunk_s
        if chunk_s:
            allowed = 1 + int(_EXTRA_BACKLOG_S / chunk_s)
        return allowed - self._pending_count

    def _measured_delay_s(self, now: float) -> float:
        """Estimate the delay by recent chunks and the time without any.

        A chunk received quickly bounds the delay by the time that it took. One
        silent sender of many does not count, since others' chunks arrive.
        """
        took_s = _recent_minimum(self._durations, now)
        backlog_s = _recent_minimum(self._peer_paces, now) * self._pending_count
        if not self._suspects_congestion:
            return min(backlog_s, took_s)
        if now - self._last_peer_chunk_at > _RECENT_S:
            backlog_s = took_s
        no_data_s = now - self._no_data_since
        stall_delay_s = _STALL_DELAY_S if no_data_s > _STALL_S else 0
        return max(min(backlog_s, took_s), no_data_s, stall_delay_s)

    def _suspect_congestion(self, now: float) -> None:
        if not self._suspects_congestion:
            self._suspects_congestion = True
            self._suspected_since = now
            self._no_data_since = now

    def _clear_suspicion_if_idle(self, now: float) -> None:
        """End the suspicion after a while without pending chunks.

        It ends at once where requests ended too soon to have been delayed.
        """
        if self._is_peer_chunk_pending:
            self._peer_awaited_at = now
        elif self._peer_awaited_at - self._suspected_since < _QUICK_CHUNK_S:
            # The peers refused quickly, however long the origin takes.
            self._suspects_congestion = False
        if self._pending_count:
            self._busy_at = now
            return
        delayed_s = self._busy_at - self._no_data_since
        if delayed_s < _QUICK_CHUNK_S or now - self._busy_at > _IDLE_S:
            self._suspects_congestion = False

    @property
    def _is_peer_chunk_pending(self) -> bool:
        is_requested = any(chunk.sampled for chunk in self._in_flight)
        return is_requested or bool(self._abandoned or self._timed_out_until)

    @property
    def _last_peer_chunk_at(self) -> float:
        return self._peer_paces[-1][0]

    def _oldest_age_s(self, now: float) -> float:
        """Give the age of the oldest chunk; this link may be the cause."""
        ages = [
            now - chunk.flowing_since
            for chunk in self._in_flight
            if chunk.sampled
        ]
        return max(ages, default=0)

    @property
    def _pending_count(self) -> int:
        no_longer_awaited = len(self._abandoned) + len(self._timed_out_until)
        return len(self._in_flight) + no_longer_awaited
