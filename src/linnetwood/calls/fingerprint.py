"""Name what two calls have in common that differ in nothing but their ids."""

import hashlib

# So many bytes that no two calls of a fleet's life share a name by chance.
FINGERPRINT_BYTES = 12
_SEPARATOR = b'\0'


def call_fingerprint(
    organisation: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """Give the name shared by all calls of one caller that ask the same.

    It is a digest in hex: what the call holds can't be read from it. The
    caller is its organisation, since keys are replaced; a call without one
    is like those of all callers without one.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (organisation, method, host.lower(), target):
        # What callers write holds no such byte, so parts can't be shifted.
        # Stored names are JSON, which can escape half of a pair of units.
        digest.update(part.encode('utf-8', 'surrogatepass') + _SEPARATOR)
    digest.update(body)
    return digest.hexdigest()
