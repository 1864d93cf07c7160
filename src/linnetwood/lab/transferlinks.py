"""Simulate chunks on links that divide their rate evenly; no I/O."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping

from linnetwood.lab.transferscenario import Scenario
from linnetwood.weights.swarm import ORIGIN, Fetch

_ORIGIN_ZONE = 'z0'
# How often the rate that some flows leave unused is divided among the others.
_SHARING_ROUNDS = 3


class Flow:
    """One chunk that was requested and has not arrived."""

    __slots__ = ('began', 'fetch', 'left', 'version', 'vm_id')

    def __init__(self, vm_id: str, version: int, fetch: Fetch, size: int):
        """Start with no byte of the chunk on its way."""
        self.vm_id = vm_id
        self.version = version
        self.fetch = fetch
        self.left = float(size)
        self.began = False


class Links:
    """Own the chunks in flight between VMs and from the origin."""

    def __init__(self, scenario: Scenario, zones: Mapping[str, str]) -> None:
        """Start with nothing in flight; `zones` gives the zone of each VM."""
        self._scenario = scenario
        self._zones = zones
        self._flows: list[Flow] = []
        self._paced_until: defaultdict[str, float] = defaultdict(float)

    def request(self, vm_id: str, version: int, fetch: Fetch) -> None:
        """Request a chunk."""
        size = self._scenario.chunk_bytes
        self._flows.append(Flow(vm_id, version, fetch, size))

    def drop(self, is_unwanted: Callable[[Flow], bool]) -> None:
        """Give up the chunks that are no longer wanted."""
        self._flows = [one for one in self._flows if not is_unwanted(one)]

    def requests_by_source(self) -> Counter[str]:
        """Return how many chunks are in flight from each source."""
        return Counter(flow.fetch.source for flow in self._flows)

    def is_origin_down(self, vm_id: str, now: float) -> bool:
        """Return whether a VM can't read from the origin."""
        since, until = self._scenario.outage
        return since <= now < until or self.is_cut(vm_id, ORIGIN, now)

    def is_cut(self, one: str, other: str, now: float) -> bool:
        """Return whether nothing passes between two VMs, or a VM and ORIGIN."""
        since, until = self._scenario.cut
        if not since <= now < until:
            return False
        return self.is_in_origin_zone(one) != self.is_in_origin_zone(other)

    def is_in_origin_zone(self, one: str) -> bool:
        """Return whether a VM, or ORIGIN, is in the zone of the origin."""
        return one == ORIGIN or self._zones[one] == _ORIGIN_ZONE

    def fail_reads(self, now: float) -> Iterator[Flow]:
        """Drop and yield the reads of an origin that is unavailable."""
        for flow in tuple(self._flows):
            from_origin = flow.fetch.source == ORIGIN
            if from_origin and self.is_origin_down(flow.vm_id, now):
                self._flows.remove(flow)
                yield flow

    def begin_due(self, now: float) -> Iterator[Flow]:
        """Let chunks begin, and yield them.

        A VM paces its uploads one after the other. A chunk fits into the
        buffers of a connection, so the next one begins when the time of the
        previous one on this VM's own link is over, however slowly that arrives.
        """
        for flow in self._uncut(now):
            source = flow.fetch.source
            is_paced = source != ORIGIN and self._paced_until[source] > now
            if flow.began or is_paced:
                continue
            took_s = self._scenario.chunk_bytes / self._rate(source)
            self._paced_until[source] = now + took_s
            flow.began = True
            yield flow

    def advance(self, now: float, step_s: float) -> Iterator[Flow]:
        """Move the chunks on for one step, and yield those that arrive."""
        active = [flow for flow in self._uncut(now) if flow.began]
        for flow, rate in self._flow_rates(active).items():
            flow.left -= rate * step_s
            if flow.left <= 0:
                self._flows.remove(flow)
                yield flow

    def _uncut(self, now: float) -> Iterator[Flow]:
        for flow in self._flows:
            if not self.is_cut(flow.vm_id, flow.fetch.source, now):
                yield flow

    def _flow_rates(self, active: list[Flow]) -> dict[Flow, float]:
        """Return each flow's rate; a rate that one can't use goes to others."""
        rates = dict.fromkeys(active, float())
        out_left = {
            flow.fetch.source: self._rate(flow.fetch.source) for flow in active
        }
        in_left = {flow.vm_id: self._rate(flow.vm_id) for flow in active}
        for _ in range(_SHARING_ROUNDS):
            for flow, rate in _fair_shares(active, out_left, in_left).items():
                rates[flow] += rate
                out_left[flow.fetch.source] -= rate
                in_left[flow.vm_id] -= rate
        return rates

    def _rate(self, source: str) -> float:
        if source == ORIGIN:
            return self._scenario.origin_bytes_per_s
        return self._scenario.link_bytes_per_s * self._scenario.link_share


def _fair_shares(
    active: list[Flow],
    out_left: Mapping[str, float],
    in_left: Mapping[str, float],
) -> dict[Flow, float]:
    flows = [
        flow
        for flow in active
        if out_left[flow.fetch.source] > 1 and in_left[flow.vm_id] > 1
    ]
    outs = Counter(flow.fetch.source for flow in flows)
    ins = Counter(flow.vm_id for flow in flows)
    return {
        flow: min(
            out_left[flow.fetch.source] / outs[flow.fetch.source],
            in_left[flow.vm_id] / ins[flow.vm_id],
        )
        for flow in flows
    }
