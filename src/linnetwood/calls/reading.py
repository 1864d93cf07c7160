"""Turn a request that arrived into a call, or say why it is none; no I/O."""

import dataclasses
from random import Random

from linnetwood.calls.dialect import CallHead, Dialect
from linnetwood.calls.direct import DirectCall
from linnetwood.calls.grounds import Grounds
from linnetwood.calls.likeness import likeness
from linnetwood.calls.regionscope import intersect_regions
from linnetwood.calls.routebook import (
    Organisation,
    Route,
    RouteBook,
    pick_service,
)
from linnetwood.core.outcomes import Code, Ending, not_run
from linnetwood.wire.curldriver import Headers

# A caller that names no deadline is held no longer than this.
_DEFAULT_WAIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it was read, when, and what it is decided by."""

    method: str
    target: str
    headers: Headers
    body: bytes
    at: float
    grounds: Grounds = Grounds()


def read_call(
    arrival: Arrival,
    book: RouteBook,
    dialect: Dialect,
    rng: Random,
) -> DirectCall | Ending:
    """Find the route, the organisation and the service of a request."""
    if not book.revision:
        return not_run(Code.NOT_SERVING, 'no configuration yet')
    route = book.find(asked_host(arrival.headers), arrival.target)
    if route is None:
        return not_run(Code.UNKNOWN_TARGET, arrival.target)
    head = dialect.read(arrival.headers)
    organisation = book.organisation(head.key)
    restricted = book.organisations is not None and not route.public
    if restricted and organisation is None:
        return not_run(Code.KEY_UNKNOWN, route.name)
    return _call(arrival, book, route, head, organisation, rng)


def _call(
    arrival: Arrival,
    book: RouteBook,
    route: Route,
    head: CallHead,
    organisation: Organisation | None,
    rng: Random,
) -> DirectCall | Ending:
    name = pick_service(route, rng.random())
    service = book.services.get(name)
    if service is None:
        return not_run(Code.NO_ENDPOINT, name)
    return DirectCall(
        head,
        route,
        service,
        organisation,
        arrival.method,
        arrival.target,
        arrival.headers,
        arrival.body,
        arrival.at,
        arrival.at + min(held_s(head), route.timeout_s),
        arrival.grounds,
        intersect_regions(
            route.regions, organisation.regions if organisation else ()
        ),
        likeness(
            organisation.name if organisation else '',
            arrival.method,
            route.host,
            arrival.target,
            arrival.body,
        ),
    )


def held_s(head: CallHead) -> float:
    """Give the seconds that a caller waits for its answer."""
    return _DEFAULT_WAIT_S if head.wait_s is None else head.wait_s


def asked_host(headers: Headers) -> str:
    """Give the host that a request names, or nothing."""
    for name, text in headers:
        if name.lower() == 'host':
            return text
    return ''
