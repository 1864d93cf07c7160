class Weigh:
    TIME: int
    ORIGIN: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class Verdict:
    ACCEPTED: int
    REFUSED: int
    NOT_KNOWN: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class Version:
    name: str
    manifest: str
    def __init__(self, name: str = ..., manifest: str = ...) -> None: ...
class Adapter:
    name: str
    base_version: str
    manifest: str
    def __init__(self, name: str = ..., base_version: str = ..., manifest: str = ...) -> None: ...
class Model:
    name: str
    versions: list[Version]
    adapters: list[Adapter]
    def __init__(self, name: str = ..., versions: list[Version] = ..., adapters: list[Adapter] = ...) -> None: ...
class Service:
    name: str
    checks_fences: bool
    once_paths: list[str]
    def __init__(self, name: str = ..., checks_fences: bool = ..., once_paths: list[str] = ...) -> None: ...
class Organisation:
    name: str
    share: int
    def __init__(self, name: str = ..., share: int = ...) -> None: ...
class Intent:
    model: str
    version: str
    replicas: int
    ready_by_unix_s: int
    weigh: int
    adapters: list[str]
    availability_zones: list[str]
    spare_replicas: int
    previous_version: str
    previous_replicas: int
    def __init__(self, model: str = ..., version: str = ..., replicas: int = ..., ready_by_unix_s: int = ..., weigh: int = ..., adapters: list[str] = ..., availability_zones: list[str] = ..., spare_replicas: int = ..., previous_version: str = ..., previous_replicas: int = ...) -> None: ...
class Deployment:
    models: list[Model]
    services: list[Service]
    organisations: list[Organisation]
    intents: list[Intent]
    def __init__(self, models: list[Model] = ..., services: list[Service] = ..., organisations: list[Organisation] = ..., intents: list[Intent] = ...) -> None: ...
class Change:
    revision: int
    operation_id: str
    operator_name: str
    accepted_unix_ms: int
    summary: str
    def __init__(self, revision: int = ..., operation_id: str = ..., operator_name: str = ..., accepted_unix_ms: int = ..., summary: str = ...) -> None: ...
class Configuration:
    revision: int
    deployment: Deployment
    history: list[Change]
    def __init__(self, revision: int = ..., deployment: Deployment = ..., history: list[Change] = ...) -> None: ...
class Answer:
    verdict: int
    revision: int
    operation_id: str
    code: str
    detail: str
    since: list[Change]
    def __init__(self, verdict: int = ..., revision: int = ..., operation_id: str = ..., code: str = ..., detail: str = ..., since: list[Change] = ...) -> None: ...
class EndpointStatus:
    vm: str
    availability_zone: str
    address: str
    kind: str
    serving: str
    state: str
    in_flight: int
    chunks_held: int
    chunks_wanted: int
    def __init__(self, vm: str = ..., availability_zone: str = ..., address: str = ..., kind: str = ..., serving: str = ..., state: str = ..., in_flight: int = ..., chunks_held: int = ..., chunks_wanted: int = ...) -> None: ...
class RolloutStatus:
    model: str
    version: str
    replicas_wanted: int
    replicas_complete: int
    fraction_held: float
    replicas_per_s: float
    estimate_s: float
    deadline_s: float
    at_risk: bool
    cause: str
    def __init__(self, model: str = ..., version: str = ..., replicas_wanted: int = ..., replicas_complete: int = ..., fraction_held: float = ..., replicas_per_s: float = ..., estimate_s: float = ..., deadline_s: float = ..., at_risk: bool = ..., cause: str = ...) -> None: ...
class Status:
    vm: str
    availability_zone: str
    revision: int
    platform_reachable: bool
    entries: int
    endpoints: int
    unreachable_zones: list[str]
    rollouts: list[RolloutStatus]
    control_bytes_sent: int
    control_bytes_received: int
    def __init__(self, vm: str = ..., availability_zone: str = ..., revision: int = ..., platform_reachable: bool = ..., entries: int = ..., endpoints: int = ..., unreachable_zones: list[str] = ..., rollouts: list[RolloutStatus] = ..., control_bytes_sent: int = ..., control_bytes_received: int = ...) -> None: ...
class Refusal(Exception):
    code: str
    detail: str
    def __init__(self, code: str = ..., detail: str = ...) -> None: ...
