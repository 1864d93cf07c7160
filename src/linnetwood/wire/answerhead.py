"""Parse the head of an HTTP answer line by line, as libcurl passes it on."""

# Of all heads and trailers of one answer.
MAX_LINES = 1000
_INTERIM_BELOW = 200


class AnswerHead:
    """The head of one answer, behind any interim heads."""

    __slots__ = (
        'headers',
        'is_cut',
        'is_malformed',
        'is_open',
        'lines',
        'status',
    )

    def __init__(self) -> None:
        """Start before the first line."""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        # Whether more of the head is expected.
        self.is_open = True
        # Whether the connection ended within it.
        self.is_cut = False
        # Whether its status can't be read.
        self.is_malformed = False
        self.lines = 0

    def add(self, raw: bytes) -> bool:
        """Process a line; return whether the head is complete with it.

        Trailer lines after the body are ignored.
        """
        self.lines += 1
        if not raw.endswith(b'\n'):
            # libcurl takes a lone CR before the connection's end as a line.
            self.is_cut = self.is_open
            return False
        if not self.is_open:
            return False
        line = raw.decode('latin-1').rstrip('\r\n')
        if line:
            self._parse_field(line)
            return False
        return self._end()

    def _parse_field(self, line: str) -> None:
        if line.startswith('HTTP/') and not self.headers:
            # libcurl reads a number that other bytes follow.
            status = line.split(' ', 2)[1]
            self.is_malformed = not status.isdecimal()
            self.status = 0 if self.is_malformed else int(status)
            return
        name, _, text = line.partition(':')
        self.headers.append((name, text.strip()))

    def _end(self) -> bool:
        if self.status < _INTERIM_BELOW:
            self.headers = []
            return False
        self.is_open = False
        return True
