"""The three ways in which a call can end, and their codes."""

import dataclasses
import enum


class Outcome(enum.IntEnum):
    """How a call ended."""

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3


class Code(enum.Enum):
    """Why a call was not answered."""

    NO_ENDPOINT = 'no-endpoint'
    NOT_SERVING = 'not-serving'
    LEAVING = 'leaving'
    BUSY = 'busy'
    QUEUE_FULL = 'queue-full'
    OVER_SHARE = 'over-share'
    LATE = 'deadline-passed'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    BACKEND_UNREACHABLE = 'backend-unreachable'
    BACKEND_LOST = 'backend-lost'
    BACKEND_BUSY = 'backend-busy'
    WRONG_ANSWER = 'wrong-answer'
    KEY_MALFORMED = 'key-malformed'
    KEY_OTHER_OWNER = 'key-owner-gone'
    KEY_EXPIRED = 'key-expired'
    KEY_USED = 'key-used'
    KEYS_FULL = 'keys-full'
    BAD_REQUEST = 'bad-request'
    STOPPING = 'stopping'
    UNKNOWN_TARGET = 'unknown-target'
    KEY_UNKNOWN = 'key-unknown'
    BELIEF_OLD = 'belief-old'
    OVERLOADED = 'overloaded'
    ENDS_ENDPOINTS = 'ends-endpoints'
    INTERNAL = 'internal-error'


RETRY_SOON_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How one attempt or call ended."""

    outcome: Outcome
    code: str = ''
    detail: str = ''
    retry_after_ms: int = RETRY_SOON_MS


def not_run(
    code: Code, detail: str = '', after_ms: int = RETRY_SOON_MS
) -> Ending:
    """Return the ending of a call that certainly did not run."""
    return Ending(Outcome.NOT_RUN, code.value, detail, after_ms)


def unknown(code: Code, detail: str = '') -> Ending:
    """Return the ending of a call that may have run."""
    return Ending(Outcome.UNKNOWN, code.value, detail)


ANSWERED = Ending(Outcome.ANSWERED)
