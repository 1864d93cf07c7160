"""A link to one server, which a cut holds up in both directions."""

import asyncio
import contextlib


class Link:
    """Forward connections; while cut, bytes and ends wait."""

    def __init__(self, host, port, backend):
        self.address = (host, port)
        self.backend = backend
        self.open = asyncio.Event()
        self.open.set()
        self.server = None

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, *self.address, backlog=512)

    async def stop(self):
        """Stop listening."""
        self.server.close()

    def cut(self):
        """Hold everything up."""
        self.open.clear()

    def heal(self):
        """Deliver what was held up, and everything from now on."""
        self.open.set()

    async def _serve(self, reader, writer):
        await self.open.wait()
        try:
            back, forth = await asyncio.open_connection(*self.backend)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, forth),
                             self._pump(back, writer))

    async def _pump(self, source, sink):
        """Pass bytes on, then the end of the connection."""
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                await self.open.wait()
                sink.write(data)
                await sink.drain()
        await self.open.wait()
        with contextlib.suppress(OSError):
            sink.close()
