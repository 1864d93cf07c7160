"""The key-value service's own rules: versions, compare-and-swap, leases."""

import dataclasses

from linnetwood.core.sizes import MIB

MAX_VALUE = MIB


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """One key's bytes and the version that put them there."""

    version: int
    payload: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SwapResult:
    """The outcome of a compare-and-swap and what stands now."""

    done: bool
    version: int


class KvTable:
    """Hold keys in memory; versions grow over the whole table."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, KeyRecord] = {}
        self._leases: dict[int, float] = {}
        self._version = 0

    def get(self, key: str, now: float) -> KeyRecord | None:
        """Give what stands under a key."""
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
        """Put bytes if the key's version is as expected; 0 means absent."""
        self._expire(now)
        entry = self._entries.get(key)
        standing = entry.version if entry else 0
        if standing != expect or len(payload) > MAX_VALUE:
            return SwapResult(False, standing)
        if lease and lease not in self._leases:
            return SwapResult(False, standing)
        self._version += 1
        self._entries[key] = KeyRecord(self._version, payload, lease)
        return SwapResult(True, self._version)

    def grant(self, ttl_s: float, now: float) -> int:
        """Open a lease and give its number."""
        self._version += 1
        self._leases[self._version] = now + ttl_s
        return self._version

    def renew(self, lease: int, ttl_s: float, now: float) -> bool:
        """Extend a lease that has not lapsed."""
        self._expire(now)
        if lease not in self._leases:
            return False
        self._leases[lease] = now + ttl_s
        return True

    def _expire(self, now: float) -> None:
        lapsed = {
            lease for lease, until in self._leases.items() if until <= now
        }
        if not lapsed:
            return
        for lease in lapsed:
            self._leases.pop(lease)
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.lease not in lapsed
        }
