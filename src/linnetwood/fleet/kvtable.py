"""In-memory table with the rules of the key-value service.

These are versions, compare-and-swap and leases.
"""

import dataclasses

from linnetwood.core.sizes import MIB

MAX_VALUE = MIB


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """Bytes of a key, the version that wrote them, and their lease if any."""

    version: int
    payload: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SwapResult:
    """Whether a compare-and-swap took effect, and the key's version now."""

    done: bool
    version: int


class KvTable:
    """Hold keys; all of them and the leases share one version counter."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, KeyRecord] = {}
        self._leases: dict[int, float] = {}
        self._version = 0

    def get(self, key: str, now: float) -> KeyRecord | None:
        """Return the record of a key, if there is one."""
        self._expire(now)
        return self._entries.get(key)

    def swap(
        self,
        key: str,
        payload: bytes,
        expect: int,
        now: float,
        lease: int = 0,
    ) -> SwapResult:
        """Write bytes if the key's version is as expected; 0 means absent.

        Writes nothing if the bytes are too many or the lease has expired.
        """
        self._expire(now)
        record = self._entries.get(key)
        current = record.version if record else 0
        if current != expect or len(payload) > MAX_VALUE:
            return SwapResult(False, current)
        if lease and lease not in self._leases:
            return SwapResult(False, current)
        self._version += 1
        self._entries[key] = KeyRecord(self._version, payload, lease)
        return SwapResult(True, self._version)

    def grant(self, ttl_s: float, now: float) -> int:
        """Open a lease and return its number."""
        self._version += 1
        self._leases[self._version] = now + ttl_s
        return self._version

    def renew(self, lease: int, ttl_s: float, now: float) -> bool:
        """Extend a lease; return false if it has expired."""
        self._expire(now)
        if lease not in self._leases:
            return False
        self._leases[lease] = now + ttl_s
        return True

    def _expire(self, now: float) -> None:
        expired = {
            lease
            for lease, expires_at in self._leases.items()
            if expires_at <= now
        }
        if not expired:
            return
        for lease in expired:
            self._leases.pop(lease)
        self._entries = {
            key: record
            for key, record in self._entries.items()
            if record.lease not in expired
        }
