"""The pieces of each version of the model, and the origin that has them."""

import asyncio
import hashlib
import json
from collections.abc import Callable

from review.standins.http import Request, listen, reply

MODEL = 'm-1'
CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16


def piece(version: int, index: int) -> bytes:
    """Return a piece of a version."""
    seed = hashlib.sha256(f'{MODEL}/{version}/{index}'.encode()).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


def digest(version: int, index: int) -> str:
    """Return the digest of a piece, in hex."""
    return hashlib.sha256(piece(version, index)).hexdigest()


class Origin:
    """Answer for manifests and pieces; count and spoil answers."""

    def __init__(self, note: Callable[[str, dict[str, object]], None]) -> None:
        """Call `note` for each answer."""
        self.newest = 1
        self.answers = 0
        self.spoilt = 0
        # Returns whether the next manifest of a version is spoilt.
        self.spoils: Callable[[int], bool] = lambda version: False
        self._note = note

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await listen(host, port, self._handle)

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        version = int(req.query('version', str(self.newest)))
        if version > self.newest:
            return await reply(writer, 404)
        if version < self.newest - 1:
            return await reply(writer, 410)
        self.answers += 1
        if '/manifest/' in req.path:
            return await self._manifest(version, writer)
        index = int(req.query('quantity'))
        self._note('origin piece', {'version': version, 'index': index})
        return await reply(writer, 200, piece(version, index))

    async def _manifest(
        self, version: int, writer: asyncio.StreamWriter
    ) -> bool:
        digests = [digest(version, index) for index in range(CHUNKS)]
        body = json.dumps(
            {
                'model': MODEL,
                'version': version,
                'chunk_bytes': CHUNK_BYTES,
                'layers': LAYERS,
                'digests': digests,
            }
        ).encode()
        is_spoilt = self.spoils(version)
        if is_spoilt:
            self.spoilt += 1
            # One digit of one digest is another one.
            at = body.index(digests[40].encode()) + 8
            digit = b'0' if body[at : at + 1] != b'0' else b'1'
            body = body[:at] + digit + body[at + 1 :]
        self._note('origin manifest', {'version': version, 'spoilt': is_spoilt})
        json_type = {'Content-Type': 'application/json'}
        return await reply(writer, 200, body, json_type)
