"""The meaning of calls and answers, independent of their header names."""

import dataclasses
import enum
from typing import Protocol

from linnetwood.calls.notices import Notice
from linnetwood.wire.curlrequest import Headers


class Verdict(enum.Enum):
    """The class of an endpoint's answer to a call."""

    ANSWER = 'answer'
    NOT_RUN = 'not-run'
    # Not run either: another incarnation or version than the call requires.
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    # Not an answer to this call, or not from an endpoint of the platform.
    FOREIGN = 'foreign'


class Urgency(enum.Enum):
    """The priority among calls that wait at an engine."""

    IN_TIME = 'in-time'
    LATE = 'late'


@dataclasses.dataclass(frozen=True, slots=True)
class CallHead:
    """What a caller's headers say; times in seconds, the prompt in tokens.

    `wait_s` is None for a caller that states no deadline. `shared_parts` are
    the ids of the parts of the prompt that other calls may have too, in order.
    """

    call_id: str = ''
    wait_s: float | None = None
    key: str = ''
    model: str = ''
    prompt: int = 0
    resume_after: str = ''
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingCall:
    """What an attempt adds to the caller's own headers; times in seconds.

    `version` is the required version of the weights, 0 for any.
    """

    endpoint: str
    remaining_s: float
    organisation: str
    version: int = 0
    resume_after: str = ''
    urgency: Urgency = Urgency.IN_TIME
    # The priority of a call in time, 0 the highest; None where all are equal.
    priority: int | None = None


class Dialect(Protocol):
    """Read headers of callers and endpoints, and write those of attempts."""

    def read(self, headers: Headers) -> CallHead:
        """Read a caller's headers."""

    def outgoing(self, headers: Headers, call: OutgoingCall) -> Headers:
        """Return the headers of an attempt."""

    def verdict(self, status: int, headers: Headers, call_id: str) -> Verdict:
        """Classify an answer by its head."""

    def notice(
        self,
        status: int,
        headers: Headers,
        call_id: str,
    ) -> Notice | None:
        """Return an endpoint's report on itself, None for others' answers."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""

    def version(self, headers: Headers) -> int:
        """Return the version of the weights that answered; 0 if not stated."""
