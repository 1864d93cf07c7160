"""An engine that takes staged chunks layer by layer, as the product sees it."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol

from linnetwood.weights.chunks import Manifest


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself; changing means an order is under way.

    Counts begin anew with each life; it was born at a Unix time, 0 if unknown.
    """

    waiting: int
    running: int
    kv_used: int
    kv_total: int
    serving: Mapping[str, int]
    changing: bool
    orders_taken: int
    born: int = 0


class OrderResult(enum.Enum):
    """What became of an order."""

    TAKEN = 'taken'
    DONE = 'done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'


class Engine(Protocol):
    """Speak to the engine of this VM; each call may raise OrderError."""

    async def report(self) -> EngineReport:
        """Ask what it does."""

    async def staged(self, model: str) -> list[int]:
        """Ask which chunks lie there."""

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Read a chunk that lies there."""

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Lay a chunk there."""

    async def activate(
        self, model: str, version: int, orders: int
    ) -> OrderResult:
        """Order it to serve what lies there, if it took so many orders."""


class Origin(Protocol):
    """Read from the origin; each call may raise WeightsError."""

    async def manifest(self, model: str, version: int) -> Manifest:
        """Read the digests of a version."""

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Read one chunk, unchecked."""
