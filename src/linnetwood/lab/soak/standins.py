"""Run the stand-ins of one kind in a separate process."""

import asyncio

import defopt

from linnetwood.lab.soak import standcontrol, standservers, standstore


def store(port: int) -> None:
    """Run the store.

    :param port: where it listens on loopback
    """
    asyncio.run(_store(port))


def servers(port: int, endless_path: str, *rows: str) -> None:
    """Run servers and the origin.

    :param port: where origin and control listen on loopback
    :param endless_path: where answers without end are handed over
    :param rows: NAME=SERVICE=SLOTS=PORT for each server
    """
    asyncio.run(_servers(port, endless_path, rows))


async def _store(port: int) -> None:
    standstore.application().listen(port, '127.0.0.1')
    await asyncio.Event().wait()


async def _servers(port: int, endless_path: str, rows: tuple[str, ...]) -> None:
    all_servers = standservers.Servers(endless_path)
    for row in rows:
        name, service, slots, listens = row.split('=')
        standcontrol.add_server(
            all_servers, name, service, int(slots), int(listens)
        )
    standcontrol.application(all_servers).listen(port, '127.0.0.1')
    await asyncio.Event().wait()


def main() -> None:
    """Run the command line."""
    defopt.run([store, servers])


if __name__ == '__main__':
    main()
