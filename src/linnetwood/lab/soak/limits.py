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
