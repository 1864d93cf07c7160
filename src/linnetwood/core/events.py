"""Numbered log events; docs/EVENTS.md says what each means."""

import enum
import logging
import sys
from collections.abc import Callable

from linnetwood.core.clock import monotonic_s
from linnetwood.core.logformat import line_formatter
from linnetwood.core.logranks import Rank
from linnetwood.core.logsink import BoundedHandler, rank_by_level

_LOGGER = logging.getLogger('linnetwood')
# Otherwise a program without an open log would print events to stderr.
_LOGGER.addHandler(logging.NullHandler())
_MAX_REASON_CHARS = 60


class Event(enum.IntEnum):
    """Every event that a program may log."""

    STARTED = 1001
    STOPPING = 1002
    STOPPED = 1003
    SETTINGS_REFUSED = 1004
    STOP_LIMIT_REACHED = 1005
    SETTINGS_RELOADED = 1006
    LOG_DROPPED = 1007
    TASK_FAILED = 1008
    LOOP_SLOW = 1009
    CONNECTIONS_CLOSED = 1010
    ACCEPT_PAUSED = 1011
    DATAGRAM_DROPPED = 2001
    GOSSIP_BACKLOG = 2002
    MEMBER_DOUBTED = 2003
    VM_LIST_UNREACHABLE = 2004
    TALK_COUNTED = 2005
    CONFIG_ADOPTED = 3001
    CONFIG_STORE_UNREACHABLE = 3002
    CONFIG_CHANGE = 3003
    CONFIG_IGNORED = 3004
    OPERATOR_REFUSED = 3005
    STORE_AWAY = 3006
    STORE_BACK = 3007
    STORE_HISTORY_LOST = 3008
    ROUTES_ADOPTED = 3009
    VERSION_NAMED = 3010
    ENDPOINT_LISTED = 3011
    ENDPOINT_GONE = 3012
    ITEM_IGNORED = 3013
    STORE_CALL = 3014
    TELLER_HEARD = 3018
    TELLER_LEFT = 3019
    NEWS_TAKEN = 3020
    INTRODUCED = 3021
    INTRODUCTION_FAILED = 3022
    ZONES_EVACUATED = 3023
    STORE_ERA = 3024
    STORE_ERA_UNREADABLE = 3025
    UPDATE_IGNORED = 3026
    RANGE_REPLACED = 3027
    CONFIG_WRITTEN_AGAIN = 3028
    ROUTES_OLDER = 3029
    VIEW_CHANGED = 3030
    VIEW_STALE = 3031
    VIEW_FRESH = 3032
    STORE_PAGE_AGAIN = 3015
    PEERS_TAKEN = 3016
    PEERS_UNHEARD = 3017
    TRANSFER_STARTED = 4001
    CHUNK_BAD = 4002
    TRANSFER_COMPLETE = 4003
    ORIGIN_UNREACHABLE = 4004
    ORIGIN_TAKEN_OVER = 4005
    TRANSFER_DROPPED = 4006
    PEER_UNREACHABLE = 4007
    PEER_SILENT = 4008
    MANIFEST_DOUBTED = 4009
    MANIFEST_REPLACED = 4010
    ORDER_GIVEN = 5001
    ORDER_REFUSED = 5002
    ENGINE_UNREACHABLE = 5003
    DRAINING = 5004
    ENGINE_REBORN = 5005
    VERSION_PLANNED = 5006
    VERSION_UNKNOWN = 5007
    VERSION_FOUND = 5008
    PACE_IGNORED = 5009
    ORDER_WITHHELD = 5010
    CALL_NOT_RUN = 6001
    CALL_UNKNOWN = 6002
    CALL_CUT = 6003
    KEYS_FORGOTTEN = 6004
    ATTEMPT_ENDED = 6005
    CALL_REFUSED = 6006
    CALL_UNPLACED = 6007
    ENDPOINT_CRASHED = 6008
    SUSPECT_CLEARED = 6009
    ENDS_UNSHARED = 6010
    ADMISSION_DECIDED = 6011
    ENDPOINT_NOTICE = 6012
    SUSPECT_FOUND = 6013
    STREAM_SILENT = 6014
    CALL_FAILED = 6015
    CALLS_UNWARNED = 6016
    CALL_TRACED = 6017
    FRAME_REFUSED = 7001
    METRICS_UNREACHABLE = 7002
    KEYS_RELOADED = 7003
    KEYS_REFUSED = 7004


_WARNINGS = frozenset(
    (
        Event.STOP_LIMIT_REACHED,
        Event.LOG_DROPPED,
        Event.TASK_FAILED,
        Event.LOOP_SLOW,
        Event.CALL_REFUSED,
        Event.CALL_UNPLACED,
        Event.CALL_UNKNOWN,
        Event.CALL_NOT_RUN,
        Event.PEER_UNREACHABLE,
        Event.PEER_SILENT,
        Event.GOSSIP_BACKLOG,
        Event.VM_LIST_UNREACHABLE,
        Event.CONFIG_STORE_UNREACHABLE,
        Event.STORE_AWAY,
        Event.STORE_HISTORY_LOST,
        Event.STORE_ERA,
        Event.STORE_ERA_UNREADABLE,
        Event.CONFIG_WRITTEN_AGAIN,
        Event.ROUTES_OLDER,
        Event.VIEW_STALE,
        Event.VIEW_FRESH,
        Event.ITEM_IGNORED,
        Event.STORE_PAGE_AGAIN,
        Event.INTRODUCTION_FAILED,
        Event.PEERS_UNHEARD,
        Event.CHUNK_BAD,
        Event.MANIFEST_DOUBTED,
        Event.ORIGIN_UNREACHABLE,
        Event.ORDER_REFUSED,
        Event.ORDER_WITHHELD,
        Event.ENGINE_UNREACHABLE,
        Event.VERSION_UNKNOWN,
        Event.PACE_IGNORED,
        Event.CALL_CUT,
        Event.CALL_FAILED,
        Event.CALLS_UNWARNED,
        Event.ENDPOINT_CRASHED,
        Event.ENDS_UNSHARED,
        Event.SUSPECT_FOUND,
        Event.METRICS_UNREACHABLE,
        Event.KEYS_REFUSED,
    ),
)


# What the process decides calls by.
_BELIEF = frozenset(
    (
        Event.STORE_AWAY,
        Event.STORE_BACK,
        Event.STORE_HISTORY_LOST,
        Event.STORE_ERA,
        Event.ROUTES_ADOPTED,
        Event.ROUTES_OLDER,
        Event.TELLER_HEARD,
        Event.TELLER_LEFT,
        Event.RANGE_REPLACED,
        Event.VIEW_CHANGED,
        Event.VIEW_STALE,
        Event.VIEW_FRESH,
    ),
)
# A flood of calls with one reason has few warnings.
_CALL_ENDS = frozenset(
    (
        Event.CALL_NOT_RUN,
        Event.CALL_UNKNOWN,
        Event.CALL_CUT,
        Event.CALL_REFUSED,
        Event.CALL_UNPLACED,
    ),
)


def open_log(level: str, vm: str) -> None:
    """Write JSON lines to standard output without blocking on its reader."""
    handler = open_handler(sys.stdout.fileno())
    handler.setFormatter(line_formatter(vm))
    _LOGGER.handlers.clear()
    _LOGGER.addHandler(handler)
    _LOGGER.propagate = False
    _LOGGER.setLevel(level.upper())


def open_handler(
    fd: int, clock: Callable[[], float] = monotonic_s
) -> BoundedHandler:
    """Return a handler that ranks events and limits warnings of calls."""
    return BoundedHandler(
        fd,
        _report_dropped,
        clock,
        _rank_of,
        _call_reason,
        lambda counts: log(Event.CALLS_UNWARNED, calls=counts),
    )


def _rank_of(record: logging.LogRecord) -> Rank:
    event = getattr(record, 'event', 0)
    if event in _BELIEF:
        return Rank.BELIEF
    if event == Event.CALL_TRACED:
        # Other lines of answered calls may fill the share of successes.
        return Rank.FAILURE
    return rank_by_level(record)


def _call_reason(record: logging.LogRecord) -> str:
    """Return the event and code of a call's line, else an empty string."""
    event = getattr(record, 'event', 0)
    if event not in _CALL_ENDS:
        return ''
    return f'{event} {getattr(record, "code", "")}'[:_MAX_REASON_CHARS]


def _report_dropped(count: int) -> None:
    log(Event.LOG_DROPPED, lines=count)


def log(event: Event, **fields: object) -> None:
    """Log one event with its number and fields."""
    _write(
        logging.WARNING if event in _WARNINGS else logging.INFO, event, fields
    )


def log_warning(event: Event, **fields: object) -> None:
    """Log as a warning what is informative as a rule."""
    _write(logging.WARNING, event, fields)


def _write(level: int, event: Event, fields: dict[str, object]) -> None:
    if _LOGGER.isEnabledFor(level):
        _LOGGER.log(
            level,
            event.name.lower(),
            extra={'event': int(event), **fields},
        )
