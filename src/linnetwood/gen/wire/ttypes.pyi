class Member:
    vm: str
    incarnation: int
    version: int
    role: str
    availability_zone: str
    region: str
    rack: str
    host: str
    port: int
    status: int
    kind: str
    model: str
    serving: str
    adapters: list[str]
    wanted: str
    held: int
    total: int
    key_epoch: int
    slots: int
    def __init__(self, vm: str = ..., incarnation: int = ..., version: int = ..., role: str = ..., availability_zone: str = ..., region: str = ..., rack: str = ..., host: str = ..., port: int = ..., status: int = ..., kind: str = ..., model: str = ..., serving: str = ..., adapters: list[str] = ..., wanted: str = ..., held: int = ..., total: int = ..., key_epoch: int = ..., slots: int = ...) -> None: ...
class HeldNotice:
    sender: str
    manifest: str
    held: bytes
    queued: int
    def __init__(self, sender: str = ..., manifest: str = ..., held: bytes = ..., queued: int = ...) -> None: ...
class Gossip:
    sender: str
    incarnation: int
    kind: int
    revision: int
    members: list[Member]
    digests: bytes
    notices: list[HeldNotice]
    load: int
    def __init__(self, sender: str = ..., incarnation: int = ..., kind: int = ..., revision: int = ..., members: list[Member] = ..., digests: bytes = ..., notices: list[HeldNotice] = ..., load: int = ...) -> None: ...
class Start:
    call_id: str
    target: str
    deadline_ms: int
    method: str
    path: str
    headers: list[str]
    version: str
    adapter: str
    key: str
    incarnation: int
    priority: int
    resume_from: int
    traceparent: str
    def __init__(self, call_id: str = ..., target: str = ..., deadline_ms: int = ..., method: str = ..., path: str = ..., headers: list[str] = ..., version: str = ..., adapter: str = ..., key: str = ..., incarnation: int = ..., priority: int = ..., resume_from: int = ..., traceparent: str = ...) -> None: ...
class Head:
    call_id: str
    status: int
    headers: list[str]
    version: str
    adapter: str
    in_flight: int
    def __init__(self, call_id: str = ..., status: int = ..., headers: list[str] = ..., version: str = ..., adapter: str = ..., in_flight: int = ...) -> None: ...
class End:
    call_id: str
    outcome: int
    code: str
    detail: str
    length: int
    in_flight: int
    retry_after_ms: int
    def __init__(self, call_id: str = ..., outcome: int = ..., code: str = ..., detail: str = ..., length: int = ..., in_flight: int = ..., retry_after_ms: int = ...) -> None: ...
class ChunkRequest:
    asker: str
    manifest: str
    index: int
    held: bytes
    def __init__(self, asker: str = ..., manifest: str = ..., index: int = ..., held: bytes = ...) -> None: ...
class ChunkReply:
    manifest: str
    index: int
    held_here: bool
    held: bytes
    queued: int
    def __init__(self, manifest: str = ..., index: int = ..., held_here: bool = ..., held: bytes = ..., queued: int = ...) -> None: ...
class ConfigRequest:
    above: int
    def __init__(self, above: int = ...) -> None: ...
class ConfigReply:
    revision: int
    encoded: bytes
    def __init__(self, revision: int = ..., encoded: bytes = ...) -> None: ...
class TransferProgress:
    wanted: str
    held: int
    total: int
    def __init__(self, wanted: str = ..., held: int = ..., total: int = ...) -> None: ...
class DrainOrder:
    operator_name: str
    def __init__(self, operator_name: str = ...) -> None: ...
class WantedWeights:
    target: str
    model: str
    version: int
    age_ms: int
    guessed: bool
    def __init__(self, target: str = ..., model: str = ..., version: int = ..., age_ms: int = ..., guessed: bool = ...) -> None: ...
class PeerPlace:
    host: str
    zone: str
    def __init__(self, host: str = ..., zone: str = ...) -> None: ...
class PeersRequest:
    digest: int
    def __init__(self, digest: int = ...) -> None: ...
class PeerList:
    revision: int
    peers: list[PeerPlace]
    def __init__(self, revision: int = ..., peers: list[PeerPlace] = ...) -> None: ...
class EntryNews:
    number: int
    wanted: list[WantedWeights]
    origin: str
    chunk_bytes: int
    chunks: int
    origin_bytes_per_s: int
    zone: str
    peers_digest: int
    peers_revision: int
    every_ms: int
    stands_for_pct: int
    def __init__(self, number: int = ..., wanted: list[WantedWeights] = ..., origin: str = ..., chunk_bytes: int = ..., chunks: int = ..., origin_bytes_per_s: int = ..., zone: str = ..., peers_digest: int = ..., peers_revision: int = ..., every_ms: int = ..., stands_for_pct: int = ...) -> None: ...
class EngineSaid:
    life: int
    limit_milli: int
    leaving: bool
    age_ms: int
    part_ppm: int
    def __init__(self, life: int = ..., limit_milli: int = ..., leaving: bool = ..., age_ms: int = ..., part_ppm: int = ...) -> None: ...
class EngineNews:
    number: int
    waiting: int
    running: int
    serving: int
    changing: bool
    entries: int
    wanted: list[WantedWeights]
    way_ms: int
    every_ms: int
    born: int
    said: EngineSaid
    pace_milli: int
    def __init__(self, number: int = ..., waiting: int = ..., running: int = ..., serving: int = ..., changing: bool = ..., entries: int = ..., wanted: list[WantedWeights] = ..., way_ms: int = ..., every_ms: int = ..., born: int = ..., said: EngineSaid = ..., pace_milli: int = ...) -> None: ...
class ZoneHosts:
    zone: str
    hosts: bytes
    def __init__(self, zone: str = ..., hosts: bytes = ...) -> None: ...
class NeighbourNews:
    hosts: bytes
    elsewhere: list[ZoneHosts]
    def __init__(self, hosts: bytes = ..., elsewhere: list[ZoneHosts] = ...) -> None: ...
class EntryAsks:
    zone: str
    def __init__(self, zone: str = ...) -> None: ...
class News:
    entry: EntryNews
    engine: EngineNews
    held: HeldNotice
    neighbours: NeighbourNews
    asks: EntryAsks
    said: EngineSaid
    def __init__(self, entry: EntryNews = ..., engine: EngineNews = ..., held: HeldNotice = ..., neighbours: NeighbourNews = ..., asks: EntryAsks = ..., said: EngineSaid = ...) -> None: ...
class HeldKey:
    key: str
    revision: int
    def __init__(self, key: str = ..., revision: int = ...) -> None: ...
class RangeRequest:
    after: int
    far: bool
    held: list[HeldKey]
    era: int
    first_era: int
    def __init__(self, after: int = ..., far: bool = ..., held: list[HeldKey] = ..., era: int = ..., first_era: int = ...) -> None: ...
class RangePart:
    revision: int
    age_ms: int
    flow_age_ms: int
    outages: int
    whole: bool
    items: bool
    flowing_ms: int
    packed_ms: int
    rather: bytes
    asked_ms: int
    requests: int
    era: int
    retained: bytes
    retained_era: int
    def __init__(self, revision: int = ..., age_ms: int = ..., flow_age_ms: int = ..., outages: int = ..., whole: bool = ..., items: bool = ..., flowing_ms: int = ..., packed_ms: int = ..., rather: bytes = ..., asked_ms: int = ..., requests: int = ..., era: int = ..., retained: bytes = ..., retained_era: int = ...) -> None: ...
class RangeItem:
    key: str
    revision: int
    payload: bytes
    gone: bool
    age_ms: int
    base: int
    runs: list[int]
    check: int
    def __init__(self, key: str = ..., revision: int = ..., payload: bytes = ..., gone: bool = ..., age_ms: int = ..., base: int = ..., runs: list[int] = ..., check: int = ...) -> None: ...
class RangeItems:
    items: list[RangeItem]
    def __init__(self, items: list[RangeItem] = ...) -> None: ...
