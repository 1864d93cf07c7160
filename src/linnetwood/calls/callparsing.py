"""Turn an HTTP request into a call, or into a refusal; no I/O."""

import dataclasses
from random import Random

from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.dialect import CallHead, Dialect
from linnetwood.calls.directcall import DirectCall
from linnetwood.calls.fingerprint import call_fingerprint, part_fingerprints
from linnetwood.calls.regionscope import intersect_regions
from linnetwood.calls.routetable import (
    Organisation,
    Route,
    RouteTable,
    pick_service,
)
from linnetwood.core.outcomes import Code, Ending, not_run
from linnetwood.wire.curlrequest import Headers

# The longest wait for callers that state no deadline.
_DEFAULT_WAIT_LIMIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request, and the configuration that it is decided by.

    `arrived_at` is a time of the loop's clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    config_basis: ConfigBasis = ConfigBasis()


def read_call(
    incoming: IncomingRequest,
    route_table: RouteTable,
    dialect: Dialect,
    rng: Random,
) -> DirectCall | Ending:
    """Find the route, the organisation and the service of a request.

    Return the ending of the call if one of them is missing or not allowed.
    """
    if not route_table.revision:
        return not_run(Code.NOT_SERVING, 'no configuration yet')
    route = route_table.find(requested_host(incoming.headers), incoming.target)
    if route is None:
        return not_run(Code.UNKNOWN_TARGET, incoming.target)
    head = dialect.read(incoming.headers)
    organisation = route_table.organisation(head.key)
    restricted = route_table.organisations is not None and not route.public
    if restricted and organisation is None:
        return not_run(Code.KEY_UNKNOWN, route.name)
    return _resolve_call(incoming, route_table, route, head, organisation, rng)


def _resolve_call(
    incoming: IncomingRequest,
    route_table: RouteTable,
    route: Route,
    head: CallHead,
    organisation: Organisation | None,
    rng: Random,
) -> DirectCall | Ending:
    name = pick_service(route, rng.random())
    service = route_table.services.get(name)
    if service is None:
        return not_run(Code.NO_ENDPOINT, name)
    return DirectCall(
        head,
        route,
        service,
        organisation,
        incoming.method,
        incoming.target,
        incoming.headers,
        incoming.body,
        incoming.arrived_at,
        incoming.arrived_at + min(wait_limit_s(head), route.timeout_s),
        incoming.config_basis,
        intersect_regions(
            route.regions, organisation.regions if organisation else ()
        ),
        call_fingerprint(
            organisation.name if organisation else '',
            incoming.method,
            route.host,
            incoming.target,
            incoming.body,
        ),
        part_fingerprints(head.model, head.shared_parts),
    )


def wait_limit_s(head: CallHead) -> float:
    """Return the seconds that a caller waits for its answer."""
    return _DEFAULT_WAIT_LIMIT_S if head.wait_s is None else head.wait_s


def requested_host(headers: Headers) -> str:
    """Return the host that a request names, or an empty string."""
    for name, text in headers:
        if name.lower() == 'host':
            return text
    return ''
