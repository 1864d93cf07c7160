"""Check that entries heed what servers say of themselves; no I/O or clock."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from linnetwood.lab.soak.history import Arrival, History

# An entry that has passed an answer on knows it after this.
_KNOWN_S = 0.5
# What an answer takes on its way, and a busy machine may add.
_WAY_S = 0.5
_WINDOW_S = 4.0
_OVER = 1.5
_EXTRA = 5

InTouch = Callable[[str, float], bool]


def over_limits(
    history: History,
    in_touch: InTouch,
    contact_s: float,
) -> Iterator[str]:
    """Yield each server that got more than the limit that it had named."""
    entries = {call.call_id: call.entry for call in history.calls}
    by_server: dict[str, list[Arrival]] = defaultdict(list)
    for one in history.arrivals:
        by_server[one.server].append(one)
    for server, arrivals in by_server.items():
        arrivals.sort(key=_time)
        told = list(_from_told(arrivals, entries, in_touch, contact_s))
        yield from _broken(server, told)


def _time(arrival: Arrival) -> float:
    return arrival.at


def _from_told(
    arrivals: list[Arrival],
    entries: dict[str, str],
    in_touch: InTouch,
    contact_s: float,
) -> Iterator[Arrival]:
    """Yield what came from entries that had been told, while a limit stands."""
    named_at = float()
    told_at: dict[str, float] = {}
    for one in arrivals:
        if not one.limit:
            named_at = 0
            told_at.clear()
            continue
        named_at = named_at or one.at
        entry = entries.get(one.call_id, '')
        since = told_at.setdefault(entry, one.at + _KNOWN_S + _WAY_S)
        due = one.at >= max(since, named_at + contact_s)
        if due and in_touch(entry, one.at):
            yield one


def _broken(server: str, told: list[Arrival]) -> Iterator[str]:
    for first, since in enumerate(one.at for one in told):
        until = since + _WINDOW_S
        inside = [one for one in told[first:] if one.at < until]
        limit = max(one.limit for one in inside)
        allowed = int(_OVER * limit * _WINDOW_S + _EXTRA)
        if len(inside) > allowed:
            yield (
                f'LIMIT {since:.3f} {len(inside)} to {server} '
                f'at {limit} a second, {allowed} allowed'
            )
            return
