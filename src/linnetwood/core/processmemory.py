"""Read how much memory this process uses."""

import os

_STATM = '/proc/self/statm'
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open(_STATM, 'rb') as stream:
        return int(stream.read().split()[1]) * _PAGE_BYTES
