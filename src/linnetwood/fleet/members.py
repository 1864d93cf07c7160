"""Member records: their order, copies and hashes."""

import enum
import hashlib

from linnetwood.gen.wire.ttypes import Member

MEMBER_FIELDS: tuple[str, ...] = getattr(Member, '__slots__')  # noqa: B009


class Health(enum.IntEnum):
    """State of a process; of records equal otherwise the higher state wins.

    Operators see the names in lower case.
    """

    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


ENTRY = 'entry'
ENDPOINT = 'endpoint'
HASH_BYTES = 8
_HALF_BITS = 32


def precedence(member: Member) -> tuple[int, int, int]:
    """Return the key by which records of one process are ordered."""
    return (member.incarnation, member.version, member.status)


def supersedes(record: Member, other: Member) -> bool:
    """Return whether a record is newer than another of the same process."""
    return precedence(record) > precedence(other)


def copy(member: Member, **changes: object) -> Member:
    """Return a copy of a record with some fields changed."""
    fields = {name: getattr(member, name) for name in MEMBER_FIELDS}
    fields.update(changes)
    return Member(**fields)


def hash64(text: str) -> int:
    """Return a hash of 64 bits that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def record_hash(member: Member) -> int:
    """Return the 32 bits that a record adds to the hash of its bucket."""
    text = f'{member.vm}|{precedence(member)}'
    return hash64(text) >> _HALF_BITS


def accepts_work(member: Member) -> bool:
    """Return whether new work may be sent to the process."""
    return member.status in {Health.ALIVE, Health.SUSPECT}
