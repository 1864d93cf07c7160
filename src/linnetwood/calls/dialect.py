"""What calls and answers mean, apart from how they are written."""

import dataclasses
import enum
from typing import Protocol

from linnetwood.calls.notices import Notice
from linnetwood.wire.curldriver import Headers


class Verdict(enum.Enum):
    """Say what an endpoint's answer to a call is."""

    ANSWER = 'answer'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    FOREIGN = 'foreign'


class Urgency(enum.Enum):
    """Say which of the calls that wait at an engine go first."""

    IN_TIME = 'in-time'
    LATE = 'late'


@dataclasses.dataclass(frozen=True, slots=True)
class CallHead:
    """What a caller's headers say; times in seconds, the prompt in tokens."""

    call_id: str = ''
    wait_s: float | None = None
    key: str = ''
    model: str = ''
    prompt: int = 0
    resume_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingCall:
    """What an attempt adds to the caller's own headers."""

    endpoint: str
    remaining_s: float
    organisation: str
    version: int = 0
    resume_after: str = ''
    urgency: Urgency = Urgency.IN_TIME


class Dialect(Protocol):
    """Read callers and endpoints, and write to them."""

    def read(self, headers: Headers) -> CallHead:
        """Read a caller's headers."""

    def outgoing(self, headers: Headers, call: OutgoingCall) -> Headers:
        """Give the headers of an attempt."""

    def verdict(self, status: int, headers: Headers, call_id: str) -> Verdict:
        """Say what an answer's head means."""

    def notice(
        self,
        status: int,
        headers: Headers,
        call_id: str,
    ) -> Notice | None:
        """Give what an endpoint says of itself; None if it is not its word."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Give the headers of an answer that go on to the caller."""

    def version(self, headers: Headers) -> int:
        """Give the version of the weights that answered; 0 if none is told."""
