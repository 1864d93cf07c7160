"""Exponential backoff between retries."""

from random import Random

# Every ceiling is reached by then; it keeps the power of 2 small.
_MAX_DOUBLINGS = 10


def pause_s(
    failures: int,
    rng: Random,
    first_s: float,
    max_s: float,
    min_share: float,
) -> float:
    """Return a random pause after consecutive failures, in seconds.

    The ceiling starts at `first_s` and doubles with each failure up to `max_s`.
    The pause lies between `min_share` of the ceiling and the ceiling.
    """
    doublings = min(failures, _MAX_DOUBLINGS)
    ceiling = min(max_s, first_s * 2**doublings)
    return rng.uniform(ceiling * min_share, ceiling)
