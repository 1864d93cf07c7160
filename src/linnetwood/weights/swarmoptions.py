"""What bounds a transfer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SwarmOptions:
    """What bounds a transfer."""

    window: int = 6
    per_peer: int = 1
    queue_limit: int = 4
    origin_window: int = 2
    request_timeout_s: float = 5.0
    # A peer that sent nothing for so long is asked no more for a while.
    silence_s: float = 5.0
    chunk_origin_s: float = 0.01
    takeover_s: float = 3.0
