"""The interface of an engine that loads staged chunks layer by layer."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol

from linnetwood.weights.chunks import Manifest


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports; changing means an order in progress.

    Counts restart with each incarnation of the engine; born is the Unix time of
    its start, 0 if unknown. The pace says how many times slower than usual the
    engine is.
    """

    waiting: int
    running: int
    kv_used: int
    kv_total: int
    serving: Mapping[str, int]
    changing: bool
    orders_taken: int
    born: int = 0
    pace: float = 1


class OrderResult(enum.Enum):
    """The result of an order."""

    TAKEN = 'taken'
    DONE = 'done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'


class Engine(Protocol):
    """Control the engine of this VM; each method may raise OrderError."""

    async def report(self) -> EngineReport:
        """Get its report."""

    async def staged(self, model: str) -> list[int]:
        """Give the indices of the staged chunks."""

    async def read_staged(self, model: str, index: int) -> bytes | None:
        """Read a staged chunk; None if it is not staged."""

    async def stage(self, model: str, index: int, chunk: bytes) -> None:
        """Stage a chunk."""

    async def activate(
        self, model: str, version: int, orders: int, send_by: float
    ) -> OrderResult:
        """Order it to serve the staged version if its order count matches.

        The order is not sent after `send_by`, in seconds of the process's
        clock.
        """


class Origin(Protocol):
    """Read from the origin; each method may raise WeightsError."""

    async def manifest(self, model: str, version: int) -> Manifest:
        """Read the manifest of a version."""

    async def newest(self, model: str) -> tuple[int, Manifest]:
        """Read the number and the manifest of the newest version."""

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Read one chunk without verifying it."""
