"""Revisions that order all changes of a store, also of one that was restored.

A store restored from a copy loses its last changes and gives out their numbers
again; its era then rises. A revision here holds both in one integer: the era in
the high bits, the store's own number in the low ones. So a change of a later
history has a higher revision than all of an earlier one, and two changes never
have the same revision. Without eras, a revision is the store's number.
"""

# Together they fit into a signed integer of 64 bits.
_ERA_BITS = 23
_NUMBER_BITS = 40
_NUMBER_LIMIT = 1 << _NUMBER_BITS
MAX_ERA = (1 << _ERA_BITS) - 1


def join(era: int, number: int) -> int:
    """Return the revision of a number of the store; raise ValueError."""
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f'era {era}')
    if not 0 <= number < _NUMBER_LIMIT:
        raise ValueError(f'revision {number}')
    return era << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 without eras."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store itself gave."""
    return revision & (_NUMBER_LIMIT - 1)


def same_era(revision: int, other: int) -> bool:
    """Return whether two revisions belong to one history."""
    return era_of(revision) == era_of(other)
