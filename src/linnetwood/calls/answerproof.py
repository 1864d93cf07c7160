"""Take an answer without a length as whole only if its endpoint proves it."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from linnetwood.calls.attempt import Attempt, AttemptOutcome, AttemptResult
from linnetwood.calls.crashwatch import CrashObserver
from linnetwood.calls.directory import Endpoint

# A proof takes milliseconds, and a final answer is due 0.5 s after the timeout.
_PROOF_GRACE_S = 0.3
# Why an answer that ended with its connection can't be taken as whole.
_UNPROVEN: Mapping[AttemptOutcome, str] = MappingProxyType(
    {
        AttemptOutcome.LOST: 'endpoint crashed',
        AttemptOutcome.TIMED_OUT: 'no proof of its end in time',
    },
)


async def proven_result(
    attempt: Attempt,
    endpoint: Endpoint,
    observer: CrashObserver,
    deadline: float,
) -> AttemptResult:
    """Return the result; an endpoint that crashed at its end broke off.

    What nothing has proved soon after the deadline, a time of the loop, can't
    be taken as whole.
    """
    result = attempt.fut.result()
    if (
        result.outcome is not AttemptOutcome.ANSWERED
        or not result.ends_with_connection
    ):
        return result
    outcome = await _outcome_by(deadline + _PROOF_GRACE_S, endpoint, observer)
    if attempt.was_overtaken:
        return AttemptResult(AttemptOutcome.OVERTAKEN, reached=True)
    if outcome is AttemptOutcome.ANSWERED:
        return result
    return AttemptResult(outcome, reached=True, detail=_UNPROVEN[outcome])


async def _outcome_by(
    until: float, endpoint: Endpoint, observer: CrashObserver
) -> AttemptOutcome:
    """Return what an answer without a length proves to be in time."""
    try:
        async with asyncio.timeout_at(until):
            survived = await observer.survived(endpoint)
    except TimeoutError:
        return AttemptOutcome.TIMED_OUT
    return AttemptOutcome.ANSWERED if survived else AttemptOutcome.LOST
