"""The options of each program, as its settings file gives them."""

import dataclasses

from linnetwood.core.settings import at_least, one_of, port


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The VM that a process runs on, and its address."""

    vm: str
    availability_zone: str
    region: str
    host: str
    wire_port: int = port()
    rack: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Observability:
    """Destinations of logs, metrics and traces; empty for none."""

    log_level: str = one_of('debug', 'info', 'warning', 'error', default='info')
    statsd_host: str = ''
    statsd_port: int = port(8125)
    trace_file: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Trust:
    """Authentication between processes; plain mode must be set explicitly."""

    mode: str = one_of('plain', 'tls')
    certificate_file: str = ''
    key_file: str = ''
    authority_file: str = ''
    gossip_key_file: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform's services."""

    kv_url: str
    vm_list_url: str = ''
    kv_timeout_s: float = at_least(0.1, 2.0)
    watch_wait_s: float = at_least(1, 25.0)


@dataclasses.dataclass(frozen=True, slots=True)
class GossipOptions:
    """Intervals and timeouts of the membership protocol."""

    heartbeat_s: float = at_least(0.05, 0.25)
    suspect_after_s: float = at_least(0.1, 1.2)
    dead_after_s: float = at_least(0.2, 2.6)
    sync_every_s: float = at_least(0.1, 2.0)
    far_sync_every_s: float = at_least(0.1, 4.0)
    fanout: int = at_least(1, 4)
    monitors: int = at_least(1, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """Options of linnetwood-entry."""

    place: Place
    platform: Platform
    trust: Trust
    http_port: int = port()
    operators_port: int = port()
    peers: tuple[str, ...] = ()
    call_timeout_s: float = at_least(0.1, 60.0)
    queue_limit: int = at_least(1, 256)
    queue_wait_s: float = at_least(0, 2.0)
    drain_limit_s: float = at_least(0, 60.0)
    routing: str = one_of(
        'probing',
        'two_choices',
        'least_known_load',
        'round_robin',
        'random',
        default='probing',
    )
    gossiping: GossipOptions = GossipOptions()
    watching: Observability = Observability()


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """The one engine or plain service of the VM."""

    kind: str = one_of('engine', 'service')
    url: str = ''
    name: str = ''
    slots: int = at_least(1, 8)
    checks_fences: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Options of the transfer of weights."""

    origin_url: str = ''
    origin_bytes_per_s: float = at_least(1, 1.0e9)
    link_bytes_per_s: float = at_least(0, float())
    window: int = at_least(1, 6)
    neighbours: int = at_least(1, 12)
    upload_queue: int = at_least(1, 4)
    notice_every_s: float = at_least(0.01, 0.2)
    reading: str = one_of('shared', 'direct', default='shared')


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointOptions:
    """Options of linnetwood-endpoint."""

    place: Place
    platform: Platform
    trust: Trust
    backend: Backend
    transfer: Transfer = Transfer()
    peers: tuple[str, ...] = ()
    drain_limit_s: float = at_least(0, 60.0)
    key_epoch_s: float = at_least(1, 600.0)
    keys_remembered: int = at_least(1, 100000)
    gossiping: GossipOptions = GossipOptions()
    watching: Observability = Observability()


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """The policy for each decision that has more than one.

    docs/design/shifted.md and docs/design/returns.md compare some of them; the
    last four switch a part of the decisions off.
    """

    takeover: str = one_of(
        'after-the-rest',
        'after-a-time',
        default='after-the-rest',
    )
    version_plan: str = one_of(
        'by-forecast',
        'by-naming',
        default='by-forecast',
    )
    returns: str = one_of('last-part', 'sized-window', default='last-part')
    first_tries: str = one_of(
        'all-alike',
        'by-patience',
        default='by-patience',
    )
    return_room: str = one_of('as-first', 'reserve', default='reserve')
    paces: str = one_of('predicted', 'ignored', default='predicted')
    priorities: str = one_of('ranked', 'ignored', default='ranked')
    prompt_parts: str = one_of('counted', 'ignored', default='counted')
    slow_readers: str = one_of('paused', 'unlimited', default='paused')
