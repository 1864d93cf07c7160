"""Identify calls that differ only in their call ids, and parts of prompts."""

import hashlib
from collections.abc import Sequence

# Long enough that no two different calls of a fleet collide by chance.
FINGERPRINT_BYTES = 12
_SEPARATOR = b'\0'
# Keeps fingerprints of parts apart from those of calls.
_PART_SALT = b'part'
# More parts than any prompt is built of; the others count as one part.
MAX_PARTS = 32


def call_fingerprint(
    organisation: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """Return the hex digest shared by all identical calls of one caller.

    The content of a call can't be read from it. The caller is identified by
    its organisation, because API keys are replaced over time; all callers
    without an organisation count as one caller.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation, method, host.lower(), target):
        # No part can contain the separator, so text can't move between parts.
        # Names from stored JSON may hold unpaired surrogates.
        digest.update(part.encode('utf-8', 'surrogatepass') + _SEPARATOR)
    digest.update(body)
    return digest.hexdigest()


def part_fingerprints(model: str, part_ids: Sequence[str]) -> tuple[str, ...]:
    """Return the hex digest of each part that prompts for a model may share.

    A part is the same in the calls of all organisations. At most MAX_PARTS
    digests are returned, without duplicates.
    """
    rest = ','.join(part_ids[MAX_PARTS - 1 :])
    names = filter(None, (*part_ids[: MAX_PARTS - 1], rest))
    return tuple(dict.fromkeys(_part_digest(model, name) for name in names))


def _part_digest(model: str, name: str) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, salt=_PART_SALT)
    for text in (model, name):
        digest.update(text.encode('utf-8', 'surrogatepass') + _SEPARATOR)
    return digest.hexdigest()
