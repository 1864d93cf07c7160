"""When a caller that reads slowly is cut off, and the log line about it."""

from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics

# Seconds without progress after which a caller is cut off. Longer than the
# retransmissions after an outage of about 2 s.
READER_STALL_S = 4.0
# Endpoints cut off an answer only after it has stayed unread for some seconds.
# After a shorter wait, a lost connection is a failure of the endpoint.
MIN_HELD_UP_S = 0.5


def report_stalled_reader(
    metrics: Metrics,
    call_id: str,
    unread_bytes: int,
    stalled_s: float,
    **fields: object,
) -> None:
    """Log and count a caller that is cut off, with further log fields."""
    log(
        Event.CALL_CUT,
        call=call_id,
        code='reader-stalled',
        unread_bytes=unread_bytes,
        stalled_s=round(stalled_s, 1),
        **fields,
    )
    metrics.count(Metric.READERS_STALLED)
