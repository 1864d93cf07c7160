"""Keys that make a call run at most once, without consensus or disk storage.

A key names the one process incarnation that may run it and the key epoch in
which it was minted. That process remembers the keys of its latest epochs and
refuses older ones. So no second run is possible anywhere, even if entries hold
stale membership data or processes restart.
"""

import dataclasses
import enum
from collections import OrderedDict

from linnetwood.core.errors import CallError
from linnetwood.core.outcomes import Code

EPOCHS_KEPT = 3
_KEY_FIELDS = 4
_MAX_KEY_CHARS = 200
MAX_STORED_ANSWER_BYTES = 4096
MAX_STORED_ANSWERS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A key: owner VM and incarnation, epoch, and a nonce."""

    vm: str
    incarnation: int
    epoch: int
    nonce: str

    def text(self) -> str:
        """Return the text form that callers see."""
        return f'{self.vm}.{self.incarnation}.{self.epoch}.{self.nonce}'


def parse(text: str) -> Key:
    """Parse a key; raises CallError if it is malformed."""
    fields = text.rsplit('.', _KEY_FIELDS - 1)
    if (
        len(text) > _MAX_KEY_CHARS
        or len(fields) != _KEY_FIELDS
        or not all(fields)
    ):
        raise CallError(Code.KEY_MALFORMED.value, text[:_MAX_KEY_CHARS])
    vm, incarnation, epoch, nonce = fields
    if not (incarnation.isdecimal() and epoch.isdecimal()):
        raise CallError(Code.KEY_MALFORMED.value, text)
    return Key(vm, int(incarnation), int(epoch), nonce)


class KeyDecision(enum.Enum):
    """How a call that carries a key is handled."""

    RUN = 'run'
    REPLAY = 'replay'
    USED = 'used'
    OTHER_OWNER = 'other-owner'
    EXPIRED = 'expired'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer that is kept for repeats of its key."""

    status: int
    headers: tuple[str, ...]
    body: bytes


class KeyMemory:
    """Remember which keys were claimed; no I/O, the time is passed in."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        epoch_s: float,
        limit: int,
        now: float,
    ) -> None:
        """Start in the first epoch, with no key claimed."""
        self.epoch = 1
        self._vm = vm
        self._incarnation = incarnation
        self._epoch_s = epoch_s
        self._limit = limit
        self._since = now
        self._claimed: dict[int, set[str]] = {1: set()}
        self._stored_answers: OrderedDict[str, StoredAnswer] = OrderedDict()

    def advance(self, now: float) -> bool:
        """Begin a new epoch if one is due; return whether one began."""
        if now - self._since < self._epoch_s:
            return False
        self._since = now
        self.epoch += 1
        self._claimed[self.epoch] = set()
        self._claimed.pop(self.epoch - EPOCHS_KEPT, None)
        return True

    def claim(self, key: Key) -> KeyDecision:
        """Claim a key unless it was, or could have been, claimed before."""
        if (key.vm, key.incarnation) != (self._vm, self._incarnation):
            return KeyDecision.OTHER_OWNER
        claimed = self._claimed.get(key.epoch)
        if claimed is None:
            return KeyDecision.EXPIRED
        if key.nonce in claimed:
            is_stored = key.text() in self._stored_answers
            return KeyDecision.REPLAY if is_stored else KeyDecision.USED
        if sum(len(nonces) for nonces in self._claimed.values()) >= self._limit:
            return KeyDecision.FULL
        claimed.add(key.nonce)
        return KeyDecision.RUN

    def release(self, key: Key) -> None:
        """Release the key of a call that certainly never began."""
        self._claimed.get(key.epoch, set()).discard(key.nonce)

    def store_answer(self, key: Key, stored_answer: StoredAnswer) -> None:
        """Keep a complete answer of at most MAX_STORED_ANSWER_BYTES."""
        if len(stored_answer.body) > MAX_STORED_ANSWER_BYTES:
            return
        self._stored_answers[key.text()] = stored_answer
        if len(self._stored_answers) > MAX_STORED_ANSWERS:
            self._stored_answers.popitem(last=False)

    def stored_answer(self, key: Key) -> StoredAnswer:
        """Return the answer that is kept for a key."""
        return self._stored_answers[key.text()]
