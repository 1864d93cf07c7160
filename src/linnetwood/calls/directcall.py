"""A call that is run directly at an endpoint of a service; no I/O."""

import dataclasses

from linnetwood.calls.configbasis import ConfigBasis
from linnetwood.calls.dialect import CallHead
from linnetwood.calls.regionscope import ANY_REGION, RegionScope
from linnetwood.calls.routetable import Organisation, Repeat, Route, Service
from linnetwood.wire.curlrequest import Headers


@dataclasses.dataclass(frozen=True, slots=True)
class DirectCall:
    """A call to be run at an endpoint of a service.

    `arrived_at` and `deadline` are times of the loop's clock.
    """

    head: CallHead
    route: Route
    service: Service
    organisation: Organisation | None
    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline: float
    config_basis: ConfigBasis = ConfigBasis()
    region_scope: RegionScope = ANY_REGION
    # Equal for calls that ask for the same; empty where unknown.
    fingerprint: str = ''
    # Of the parts of its prompt that other calls may share.
    part_fingerprints: tuple[str, ...] = ()

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return its own fingerprint and those of the shared parts."""
        own = (self.fingerprint,) if self.fingerprint else ()
        return own + self.part_fingerprints

    @property
    def level(self) -> int:
        """Return the level of its priority in the service, 0 the highest."""
        organisation = self.organisation
        return self.service.levels.level(
            None if organisation is None else organisation.priority,
            self.route.priority,
        )

    @property
    def repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.route.repeat is not Repeat.NEVER
