"""Talk to the stand-ins of a run: publish weights, read what they counted."""

import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from linnetwood.lab.launcher import Fleet


async def publish(fleet: Fleet, weights: bytes, chunk_bytes: int) -> str:
    """Put weights into the stand-in store and give the manifest's name."""
    query = f'control?chunk_bytes={chunk_bytes}'
    url = f'http://127.0.0.1:{fleet.origin_port}/{query}'
    req = HTTPRequest(
        url,
        method='POST',
        body=weights,
        headers={'Content-Type': 'application/octet-stream'},
    )
    return (await AsyncHTTPClient().fetch(req)).body.decode()


async def origin_state(fleet: Fleet) -> dict[str, Any]:
    """Ask the stand-in store what was read."""
    url = f'http://127.0.0.1:{fleet.origin_port}/control'
    reply = await AsyncHTTPClient().fetch(url)
    found: dict[str, Any] = json.loads(reply.body)
    return found


async def engine_violations(fleet: Fleet) -> int:
    """Count what the stand-in engines saw done to them."""
    client = AsyncHTTPClient()
    found = 0
    for port in fleet.engine_ports:
        reply = await client.fetch(f'http://127.0.0.1:{port}/status')
        found += len(json.loads(reply.body)['violations'])
    return found
