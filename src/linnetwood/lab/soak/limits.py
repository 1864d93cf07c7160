"""The bounds that a soak holds the programs to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The bounds of a deployment, and the slack for a busy machine."""

    contact_s: float = 3
    apply_s: float = 4
    rollback_s: float = 2
    version_s: float = 12
    drain_s: float = 3
    attempts: int = 2
    retry_share: float = 0.2
    retry_extra: float = 100
    window_s: float = 10
    slack_s: float = 1
    # How much longer configurations may take where the store is unstable.
    outer_s: float = 5
    # How long a started program, and a way that was silent, may take.
    ready_s: float = 4
    silenced_s: float = 3
    # How long a run goes on after its last fault.
    quiet_s: float = 22


USUAL = Limits()
# What the pages bind deployments to; a run is judged soon after a fault.
STRICT = Limits(apply_s=2, rollback_s=1 / 4, ready_s=0, silenced_s=0, quiet_s=6)
