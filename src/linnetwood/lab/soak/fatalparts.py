"""Parts of prompts that crash the engines that begin to answer them."""

import dataclasses
import enum
from collections.abc import Iterable
from random import Random

_MARK = 'dead'
_PART_TOKENS = 40
_OWN_TOKENS = 100
_FIRST_PARTS = 12
_MIDDLE_PARTS = 3
_OWN_PART_BITS = 48
_STANDS_FIRST_SHARE = 1 / 3


class CrashMoment(enum.IntEnum):
    """How much of an answer an engine writes before it crashes."""

    BEFORE_EVENTS = 0
    AFTER_EVENT = 1
    # In the last two the answer has neither a length nor chunks.
    INSIDE_EVENT = 2
    AT_EVENT_END = 3

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the answer ends with its connection."""
        return self >= CrashMoment.INSIDE_EVENT


class Company(enum.IntEnum):
    """What other parts the calls with a fatal part have."""

    USUAL = 0
    # Each call has several parts that no other call has.
    MANY = 1
    # A first part that sound calls begin to have some seconds later.
    NEW_FIRST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FatalPart:
    """One fatal part, where it stands and with what."""

    number: int
    stands_first: bool
    moment: CrashMoment
    company: Company

    @property
    def part_id(self) -> str:
        """Return its id, which tells engines when to crash."""
        return f'{_MARK}{self.moment:x}{self.number:08x}'

    @property
    def new_first_part(self) -> str:
        """Return the first part that no call had before."""
        return f'f{self.number:08x}'

    def parts(self, rng: Random) -> tuple[str, ...]:
        """Return the parts of one call."""
        first = rng.choice(FIRST_PARTS)
        if self.company is Company.NEW_FIRST:
            first = self.new_first_part
        others = [first]
        if self.company is Company.MANY:
            others += [_own_part(rng) for _ in range(_MIDDLE_PARTS)]
        index = 0 if self.stands_first else 1
        others.insert(index, self.part_id)
        return (*others, _own_part(rng))


def draw_fatal_part(pick: int) -> FatalPart:
    """Draw a fatal part from the pick of a fault."""
    rng = Random(pick)
    company = rng.choice(tuple(Company))
    return FatalPart(
        pick,
        rng.random() < _STANDS_FIRST_SHARE and company is not Company.NEW_FIRST,
        rng.choice(tuple(CrashMoment)),
        company,
    )


def sound_parts(rng: Random, first_parts: Iterable[str]) -> tuple[str, ...]:
    """Return the parts of a sound call; its first part is one of those given.

    Parts differ in how often they are sent.
    """
    known = tuple(first_parts)
    index = min(rng.randrange(len(known)), rng.randrange(len(known)))
    return known[-1 - index], _own_part(rng)


def header(parts: Iterable[str]) -> str:
    """Return the value of the header that names the parts of a prompt."""
    *shared, own = parts
    named = [f'{one}:{_PART_TOKENS}' for one in shared]
    return ','.join([*named, f'{own}:{_OWN_TOKENS}'])


def crash_moment(text: str) -> CrashMoment | None:
    """Return when the engine crashes, by the header; None if no part is fatal.

    The last part is the call's own.
    """
    ids = [one.partition(':')[0] for one in text.split(',')]
    for part_id in ids[:-1]:
        if part_id.startswith(_MARK):
            return CrashMoment(int(part_id[len(_MARK)]))
    return None


def fatal_part_of(parts: Iterable[str]) -> str:
    """Return the fatal part among some, or an empty text."""
    return next((one for one in parts if one.startswith(_MARK)), '')


def _own_part(rng: Random) -> str:
    return f'c{rng.getrandbits(_OWN_PART_BITS):012x}'


FIRST_PARTS = tuple(f'a{number:08x}' for number in range(_FIRST_PARTS))
