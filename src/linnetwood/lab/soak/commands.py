"""Send commands to the stand-ins of a soak."""

import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from linnetwood.lab.soak.fleet import Fleet


class Commands:
    """Post commands to the servers and to the store; return the answers."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the stand-ins of a fleet."""
        self._fleet = fleet
        self._client = AsyncHTTPClient()

    async def servers(self, command: dict[str, Any]) -> dict[str, Any]:
        """Command the servers and the origin; return the servers' records."""
        return await self._post(f'{self._fleet.control_url}/control', command)

    async def order(self, server: str, order: str, **fields: object) -> None:
        """Command one server."""
        await self.servers({'server': server, 'order': order, **fields})

    async def store(self, command: dict[str, Any]) -> dict[str, Any]:
        """Write to the store, or set its fault mode."""
        return await self._post(f'{self._fleet.store_url}/operator', command)

    async def _post(self, url: str, command: dict[str, Any]) -> dict[str, Any]:
        body = json.dumps(command)
        answer = await self._client.fetch(url, method='POST', body=body)
        return dict(json.loads(answer.body))
