"""Identify calls that differ only in their call ids."""

import hashlib

# Long enough that no two different calls of a fleet collide by chance.
FINGERPRINT_BYTES = 12
_SEPARATOR = b'\0'


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
