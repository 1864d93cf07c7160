"""Keys that make a call run at most once, without agreement or disks.

A key names the one process incarnation that may run it, and the key epoch in
which it was minted. That process remembers the keys of its last epochs and
refuses older ones, so no second run is possible anywhere, whatever entries
believe and whoever restarts.
"""

import dataclasses
import enum
from collections import OrderedDict

from linnetwood.core.errors import CallError
from linnetwood.core.outcomes import Code

EPOCHS_KEPT = 3
_PARTS = 4
_MAX_KEY = 200
REPLAY_BYTES = 4096
REPLAYS_KEPT = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Whose key it is, since when, and which."""

    vm: str
    incarnation: int
    epoch: int
    nonce: str

    def text(self) -> str:
        """Give the form that callers see."""
        return f'{self.vm}.{self.incarnation}.{self.epoch}.{self.nonce}'


def read(text: str) -> Key:
    """Take a key apart, or raise CallError."""
    parts = text.rsplit('.', _PARTS - 1)
    if len(text) > _MAX_KEY or len(parts) != _PARTS or not all(parts):
        raise CallError(Code.KEY_MALFORMED.value, text[:_MAX_KEY])
    vm, incarnation, epoch, nonce = parts
    if not (incarnation.isdecimal() and epoch.isdecimal()):
        raise CallError(Code.KEY_MALFORMED.value, text)
    return Key(vm, int(incarnation), int(epoch), nonce)


class Admission(enum.Enum):
    """Say what may be done with a key."""

    RUN = 'run'
    REPLAY = 'replay'
    USED = 'used'
    OTHER_OWNER = 'other-owner'
    EXPIRED = 'expired'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """A whole answer that was given, kept for a repeated key."""

    status: int
    headers: tuple[str, ...]
    body: bytes


class KeyMemory:
    """Remember which keys were taken; no I/O, the time is passed in."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        epoch_s: float,
        limit: int,
        now: float,
    ) -> None:
        """Start with nothing taken, in the first epoch."""
        self.epoch = 1
        self._vm = vm
        self._incarnation = incarnation
        self._epoch_s = epoch_s
        self._limit = limit
        self._since = now
        self._taken: dict[int, set[str]] = {1: set()}
        self._replays: OrderedDict[str, Replay] = OrderedDict()

    def advance(self, now: float) -> bool:
        """Begin a new epoch when it is time; tell whether it began."""
        if now - self._since < self._epoch_s:
            return False
        self._since = now
        self.epoch += 1
        self._taken[self.epoch] = set()
        self._taken.pop(self.epoch - EPOCHS_KEPT, None)
        return True

    def admit(self, key: Key) -> Admission:
        """Take the key if it was never taken and could not have been."""
        if (key.vm, key.incarnation) != (self._vm, self._incarnation):
            return Admission.OTHER_OWNER
        taken = self._taken.get(key.epoch)
        if taken is None:
            return Admission.EXPIRED
        if key.nonce in taken:
            replay = key.text() in self._replays
            return Admission.REPLAY if replay else Admission.USED
        if sum(len(nonces) for nonces in self._taken.values()) >= self._limit:
            return Admission.FULL
        taken.add(key.nonce)
        return Admission.RUN

    def release(self, key: Key) -> None:
        """Give a key back whose call surely never began."""
        self._taken.get(key.epoch, set()).discard(key.nonce)

    def remember(self, key: Key, replay: Replay) -> None:
        """Keep a small whole answer for a repeated key."""
        if len(replay.body) > REPLAY_BYTES:
            return
        self._replays[key.text()] = replay
        if len(self._replays) > REPLAYS_KEPT:
            self._replays.popitem(last=False)

    def replay(self, key: Key) -> Replay:
        """Give the answer kept for a key."""
        return self._replays[key.text()]
