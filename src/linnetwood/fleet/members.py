"""What is known of a process, and which of two statements is newer."""

import enum
import hashlib

from linnetwood.gen.wire.ttypes import Member

MEMBER_FIELDS: tuple[str, ...] = getattr(Member, '__slots__')  # noqa: B009


class Health(enum.IntEnum):
    """How a process is; of equal statements the higher one wins."""

    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


ENTRY = 'entry'
ENDPOINT = 'endpoint'
HASH_BYTES = 8
_HALF_BITS = 32


def precedence(member: Member) -> tuple[int, int, int]:
    """Give the order of statements about one process."""
    return (member.incarnation, member.version, member.status)


def supersedes(one: Member, other: Member) -> bool:
    """Tell whether the first statement replaces the second."""
    return precedence(one) > precedence(other)


def copy(member: Member, **changes: object) -> Member:
    """Give a changed copy of a statement."""
    parts = {name: getattr(member, name) for name in MEMBER_FIELDS}
    parts.update(changes)
    return Member(**parts)


def hash64(text: str) -> int:
    """Place text on a ring of 64 bits."""
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def record_hash(member: Member) -> int:
    """Give the 32 bits by which views are compared."""
    text = f'{member.vm}|{precedence(member)}'
    return hash64(text) >> _HALF_BITS


def accepts_work(member: Member) -> bool:
    """Tell whether new work may go to the process."""
    return member.status in {Health.ALIVE, Health.SUSPECT}
