"""Order the fields of log lines: what decided first, long fields last."""

from pythonjsonlogger.json import JsonFormatter

# Readers of logs may cut lines, at 200 characters or so.
_FIRST = (
    'asctime',
    'event',
    'call',
    'code',
    'basis',
    'detail',
    'retry_after_ms',
    'levelname',
)
_LAST = (
    'message',
    'vm',
    'likeness',
    'likenesses',
    'parts',
    'places',
)


class OrderedFormatter(JsonFormatter):
    """Format records as JSON lines with their fields in order.

    Fields that are neither among the first nor among the last stay between them
    as they were logged.
    """

    def process_log_record(
        self, log_data: dict[str, object]
    ) -> dict[str, object]:
        """Return the fields of a line in order."""
        first = {
            name: log_data.pop(name) for name in _FIRST if name in log_data
        }
        last = {name: log_data.pop(name) for name in _LAST if name in log_data}
        return {**first, **log_data, **last}


def line_formatter(vm: str) -> OrderedFormatter:
    """Return the formatter of all lines of a process."""
    return OrderedFormatter(
        '%(asctime)s %(levelname)s %(message)s',
        static_fields={'vm': vm},
    )
