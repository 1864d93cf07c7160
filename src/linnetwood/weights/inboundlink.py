"""Measure what this VM's link brings, and what lies on it; no I/O or clock."""

import collections

# What may be under way beyond the one chunk that has to be. Calls to the engine
# here wait behind it; entries allow them 0.8 s to arrive and begin.
_AHEAD_S = 0.4
# The fastest of so many chunks tells of the link, since slow senders show in
# others: as many as are asked of peers at a time on the narrowest links.
_SAMPLES = 3
# A way that gets shorter is believed by this part each time it is told, so that
# one moment between two chunks does not count as a free link.
_SHORTER_SHARE = 0.3
# What came longer ago tells nothing of a link that may have narrowed since,
# where anything has come later.
_RECENT_S = 1.5
# A chunk that comes within this shows that nothing else waits on the link.
_QUICK_S = 0.3
# A link that brings nothing for so long, while peers are given up, holds back
# what is not known: then the way counts as long as calls were seen to wait.
_STUCK_S = 0.8
_STUCK_WAY_S = 2.0
# So long nothing may be under way until a link counts as unknown.
_IDLE_S = 1.0

_Dated = collections.deque[tuple[float, float]]


def _recent(dated: _Dated, now: float) -> float:
    """Give the least of what was measured lately, or at all."""
    lately = [span_s for at, span_s in dated if now - at <= _RECENT_S]
    return min(lately or [span_s for _, span_s in dated], default=0)


class InFlightChunk:
    """One chunk that was asked for and has not come."""

    __slots__ = ('came_before', 'flows_since', 'sampled', 'since')

    def __init__(
        self, since: float, came_before: int, *, sampled: bool
    ) -> None:
        """Keep since when, how many had come by then, and if it tells."""
        self.since = since
        # Until its first byte is seen, it may be flowing all the while.
        self.flows_since = since
        self.came_before = came_before
        self.sampled = sampled


class InboundLink:
    """Hold the chunks under way to this VM, and how fast they come.

    All downloads of a VM share one, since they share its link.
    """

    def __init__(self) -> None:
        """Know nothing of the link."""
        self._came = 0
        self._way_s = float()
        self._flights: set[InFlightChunk] = set()
        self._undated: list[tuple[InFlightChunk, int]] = []
        self._left: list[InFlightChunk] = []
        self._given_up: list[float] = []
        # Seconds for a chunk, each with when that was measured.
        self._samples: _Dated = collections.deque(maxlen=_SAMPLES)
        self._paces: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES,
        )
        self._took_s: _Dated = collections.deque(maxlen=_SAMPLES)
        # Peers were asked, and nothing has come since that shows a free link.
        self._in_doubt = False
        self._doubted_since = float()
        self._still_since = float()
        self._awaited_at = float()
        self._busy_at = float()

    @property
    def chunk_s(self) -> float:
        """Give the seconds that the link takes for a chunk; 0 if unknown."""
        return min((span_s for _, span_s in self._samples), default=0)

    @property
    def backlog_s(self) -> float:
        """Give the seconds that the link takes for all that may still come."""
        return self.chunk_s * self._under_way

    @property
    def backlog_with_origin_s(self) -> float:
        """Give the seconds that all under way may take, if senders do not tell.

        The origin's chunks count here: where they are slow as well, it may be
        this link, and what was asked for waits behind them.
        """
        return min(self._paces, default=0) * self._under_way

    def update_link_delay_s(self, now: float) -> float:
        """Give how long bytes of others may wait on the way here, smoothed.

        A longer way is told at once. It is called once for each report.
        """
        self.update(now)
        if self._samples:
            way_s = self._measured_s(now)
        else:
            # Whom nothing came of may be given up by now; the link is no freer.
            doubted_s = now - self._still_since if self._in_doubt else 0
            way_s = max(self._oldest_s(now), doubted_s)
        share = _SHORTER_SHARE if way_s < self._way_s else 1
        self._way_s += share * (way_s - self._way_s)
        return self._way_s

    def record_request(
        self, now: float, *, sampled: bool = True
    ) -> InFlightChunk:
        """Note that a chunk was asked for.

        How long it takes tells of this link, unless others share the sender's.
        """
        self._busy_at = now
        if sampled:
            self._awaited_at = now
            self._doubt(now)
        flight = InFlightChunk(now, self._came, sampled=sampled)
        self._flights.add(flight)
        return flight

    def record_first_byte(self, flight: InFlightChunk, now: float) -> None:
        """Note a chunk's first byte: up to now it waited for its sender."""
        flight.flows_since = now
        flight.came_before = self._came
        self._still_since = now

    def record_received(self, flight: InFlightChunk) -> None:
        """Note that a chunk has come; it is dated when things are settled."""
        if flight in self._flights:
            self._flights.remove(flight)
            self._came += 1
            self._undated.append((flight, self._came))

    def record_failed(self, flight: InFlightChunk) -> None:
        """Note that nothing will come."""
        self._flights.discard(flight)

    def record_abandoned(self, flight: InFlightChunk) -> None:
        """Note that whom it was asked of is left; it may still come.

        As what has come, it is dated when things are settled.
        """
        if flight in self._flights:
            self._flights.remove(flight)
            self._left.append(flight)

    def record_timeout(self, now: float) -> None:
        """Note that a chunk is no longer waited for, but may still come."""
        pace_s = min(self._paces, default=0)
        self._given_up.append(now + self.backlog_with_origin_s + pace_s)

    def update(self, now: float) -> None:
        """Date what has come; forget what was given up and must be through.

        How many chunks came while one flowed is the rate of the link, if that
        is what held them up, and less if the senders did.
        """
        self._look_for_idleness(now)
        for flight, came in self._undated:
            took_s = now - flight.since
            self._took_s.append((now, took_s))
            flowed_s = now - flight.flows_since
            pace_s = flowed_s / (came - flight.came_before)
            self._paces.append(pace_s)
            if flight.sampled:
                self._samples.append((now, pace_s))
            self._still_since = now
            # What peers are asked for yet is in doubt from now on.
            if flight.sampled or took_s < _QUICK_S:
                self._in_doubt = any(one.sampled for one in self._flights)
        self._undated.clear()
        while self._left:
            self._left.pop()
            self.record_timeout(now)
        self._given_up = [until for until in self._given_up if until > now]

    def request_budget(self, unmeasured: int) -> int:
        """Give how many more chunks may be asked for.

        So many may be under way at most while the link is not measured.
        """
        most = unmeasured
        chunk_s = self.chunk_s
        if chunk_s:
            most = 1 + int(_AHEAD_S / chunk_s)
        return most - self._under_way

    def _measured_s(self, now: float) -> float:
        """Reckon the way by what came last, and by how long nothing has.

        What came quickly shows that the way is no longer than that. One of many
        senders that sends nothing does not count: others' chunks come.
        """
        took_s = _recent(self._took_s, now)
        owed_s = _recent(self._samples, now) * self._under_way
        if not self._in_doubt:
            return min(owed_s, took_s)
        if now - self._sampled_at > _RECENT_S:
            owed_s = took_s
        still_s = now - self._still_since
        stuck_s = _STUCK_WAY_S if still_s > _STUCK_S else 0
        return max(min(owed_s, took_s), still_s, stuck_s)

    def _doubt(self, now: float) -> None:
        if not self._in_doubt:
            self._in_doubt = True
            self._doubted_since = now
            self._still_since = now

    def _look_for_idleness(self, now: float) -> None:
        """End the doubt where nothing has been under way for a while.

        The same at once where it ended before it can have come.
        """
        if self._awaits_peers:
            self._awaited_at = now
        elif self._awaited_at - self._doubted_since < _QUICK_S:
            # They said no, whatever the origin lets wait.
            self._in_doubt = False
        if self._under_way:
            self._busy_at = now
            return
        held_up_s = self._busy_at - self._still_since
        if held_up_s < _QUICK_S or now - self._busy_at > _IDLE_S:
            self._in_doubt = False

    @property
    def _awaits_peers(self) -> bool:
        asked = any(flight.sampled for flight in self._flights)
        return asked or bool(self._left or self._given_up)

    @property
    def _sampled_at(self) -> float:
        return self._samples[-1][0]

    def _oldest_s(self, now: float) -> float:
        """Give how long a chunk has been held up; it may be by this link."""
        ages = [
            now - flight.flows_since
            for flight in self._flights
            if flight.sampled
        ]
        return max(ages, default=0)

    @property
    def _under_way(self) -> int:
        unasked = len(self._left) + len(self._given_up)
        return len(self._flights) + unasked
