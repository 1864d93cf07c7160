"""Limits of a transfer of chunks."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SwarmOptions:
    """Windows and timeouts of a transfer.

    Windows and the queue limit count chunks: requested from peers at a time,
    from one peer, waiting at a peer, and read from the origin at a time.
    """

    window: int = 6
    per_peer: int = 1
    queue_limit: int = 4
    origin_window: int = 2
    request_timeout_s: float = 5.0
    # A peer that sends nothing for this time gets no requests for a while.
    silence_s: float = 5.0
    # Time of one chunk on the origin's link.
    chunk_origin_s: float = 0.01
    # Time after which the next reader of a chunk may read it.
    takeover_s: float = 3.0
