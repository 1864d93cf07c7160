"""Log when calls come to be refused because endpoints crashed under them."""

from linnetwood.calls.crashes import (
    REFUSE_AFTER_CRASHES,
    CrashHistory,
    CrashRecord,
)
from linnetwood.core.events import Event, log


def log_new_crash(crashes: CrashHistory, record: CrashRecord) -> None:
    """Log the crash with which calls of its fingerprint became suspect.

    From then on they are refused, unless others are the likelier cause.
    """
    suspect = crashes.suspect(record.fingerprint)
    if suspect is None or len(suspect.crashed_at) != REFUSE_AFTER_CRASHES:
        return
    log(
        Event.SUSPECT_FOUND,
        likeness=record.fingerprint,
        incarnations=list(suspect.crashed_at),
        answered_before=suspect.answered_before,
    )
