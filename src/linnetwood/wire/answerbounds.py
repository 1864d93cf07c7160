"""Bound what one answer takes of the loop."""

# What a receiver gets in one turn of the loop.
_TURN_BYTES = 131072
_TURN_PIECES = 64


class AnswerBounds:
    """Count what the receiver of one answer gets."""

    __slots__ = (
        '_turn_bytes',
        '_turn_pieces',
    )

    def __init__(self) -> None:
        """Start with nothing received."""
        self._turn_bytes = 0
        self._turn_pieces = 0

    def add_piece(self, size: int) -> None:
        """Count a piece of the body."""
        self._turn_bytes += size
        self._turn_pieces += 1

    def begin_turn(self) -> None:
        """Allow the pieces of one more turn."""
        self._turn_bytes = 0
        self._turn_pieces = 0

    @property
    def is_turn_over(self) -> bool:
        """Return whether other requests are to go first."""
        return (
            self._turn_bytes >= _TURN_BYTES or self._turn_pieces >= _TURN_PIECES
        )
