"""Pauses between tries that grow with failures in a row."""

from random import Random

# Beyond so many doublings every ceiling is reached; powers stay small.
_MOST_DOUBLINGS = 10


def pause_s(
    failures: int,
    rng: Random,
    first_s: float,
    most_s: float,
    least_share: float,
) -> float:
    """Give a pause between a share of the ceiling and the ceiling itself."""
    doublings = min(failures, _MOST_DOUBLINGS)
    ceiling = min(most_s, first_s * 2**doublings)
    return rng.uniform(ceiling * least_share, ceiling)
