"""Decide whether a call may be retried: only when safe and within a budget."""

from linnetwood.core.outcomes import Code, Ending, Outcome

RETRY_SHARE = 0.1
_RESERVE_RETRIES = 10.0
MAX_ATTEMPTS = 3
_FINAL_CODES = frozenset(
    code.value for code in (Code.KEY_MALFORMED, Code.LATE, Code.BAD_REQUEST)
)


def may_retry(ending: Ending, *, may_repeat: bool, begun: bool) -> bool:
    """Return whether a retry is safe after an attempt with this ending."""
    if begun or ending.code in _FINAL_CODES:
        return False
    if ending.outcome == Outcome.NOT_RUN:
        return True
    return ending.outcome == Outcome.UNKNOWN and may_repeat


class RetryBudget:
    """Allow retries as a share of first attempts, with a small reserve."""

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = _RESERVE_RETRIES
    ) -> None:
        """Start with a full reserve; `share` is retries per first attempt."""
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def left(self) -> float:
        """Return the retries that are left."""
        return self._tokens

    def set_limits(self, share: float, reserve: float) -> None:
        """Set new limits; drop what was saved beyond the new reserve."""
        self._share = share
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def earn(self) -> None:
        """Add the share that a first attempt earns."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def refund(self) -> None:
        """Put back a retry that was not sent."""
        self._tokens = min(self._reserve, self._tokens + 1)

    def spend(self, kept_share: float = 0) -> bool:
        """Take one retry from the budget; return whether it had one.

        `kept_share` of the reserve beyond one retry is left for other calls.
        """
        if self._tokens < max(1, 1 + kept_share * (self._reserve - 1)):
            return False
        self._tokens -= 1
        return True
