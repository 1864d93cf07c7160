/**
 * The operators' schema: what a deployment declares, and the calls that drive it.
 *
 * A deployment file includes this one and gives a constant of type Deployment.
 */
namespace py linnetwood.gen.schema

/** Which of the two measures a rollout weighs more. */
enum Weigh {
  TIME = 1,
  ORIGIN = 2
}

/** How an accepted or attempted change of configuration ended. */
enum Verdict {
  ACCEPTED = 1,
  REFUSED = 2,
  NOT_KNOWN = 3
}

/** One immutable set of weights, named by the digest of its manifest. */
struct Version {
  1: required string name,
  2: required string manifest
}

/** Weights added to one version of one model, never to another. */
struct Adapter {
  1: required string name,
  2: required string base_version,
  3: required string manifest
}

struct Model {
  1: required string name,
  2: required list<Version> versions,
  3: list<Adapter> adapters = []
}

/** A plain service; once_paths are path prefixes whose calls run at most once. */
struct Service {
  1: required string name,
  2: bool checks_fences = false,
  3: list<string> once_paths = []
}

/** Share of capacity, in parts of the sum over all organisations. */
struct Organisation {
  1: required string name,
  2: required i32 share
}

/** How many complete replicas of a version to keep, and by when. */
struct Intent {
  1: required string model,
  2: required string version,
  3: required i32 replicas,
  4: i64 ready_by_unix_s = 0,
  5: Weigh weigh = Weigh.TIME,
  6: list<string> adapters = [],
  7: list<string> availability_zones = [],
  8: i32 spare_replicas = 1,
  9: string previous_version = "",
  10: i32 previous_replicas = 0
}

struct Deployment {
  1: list<Model> models = [],
  2: list<Service> services = [],
  3: list<Organisation> organisations = [],
  4: list<Intent> intents = []
}

/** One accepted change, kept short for the history. */
struct Change {
  1: required i64 revision,
  2: required string operation_id,
  3: required string operator_name,
  4: required i64 accepted_unix_ms,
  5: required string summary
}

/** The configuration in force: the newest accepted deployment and its past. */
struct Configuration {
  1: required i64 revision,
  2: required Deployment deployment,
  3: required list<Change> history
}

/** The answer to a change: accepted, refused, or not known yet. */
struct Answer {
  1: required Verdict verdict,
  2: required i64 revision,
  3: required string operation_id,
  4: string code = "",
  5: string detail = "",
  6: list<Change> since = []
}

struct EndpointStatus {
  1: required string vm,
  2: required string availability_zone,
  3: required string address,
  4: required string kind,
  5: required string serving,
  6: required string state,
  7: required i32 in_flight,
  8: required i32 chunks_held,
  9: required i32 chunks_wanted
}

struct RolloutStatus {
  1: required string model,
  2: required string version,
  3: required i32 replicas_wanted,
  4: required i32 replicas_complete,
  5: required double fraction_held,
  6: required double replicas_per_s,
  7: required double estimate_s,
  8: required double deadline_s,
  9: required bool at_risk,
  10: string cause = ""
}

struct Status {
  1: required string vm,
  2: required string availability_zone,
  3: required i64 revision,
  4: required bool platform_reachable,
  5: required i32 entries,
  6: required i32 endpoints,
  7: required list<string> unreachable_zones,
  8: required list<RolloutStatus> rollouts,
  9: i64 control_bytes_sent = 0,
  10: i64 control_bytes_received = 0
}

/** A call that was refused before it took effect. */
exception Refusal {
  1: required string code,
  2: required string detail
}

service Operators {
  Answer apply(1: Deployment deployment, 2: i64 base_revision, 3: string operation_id, 4: string operator_name) throws (1: Refusal refusal),
  Answer startRollout(1: Intent intent, 2: i64 base_revision, 3: string operation_id, 4: string operator_name) throws (1: Refusal refusal),
  Answer cancelRollout(1: string model, 2: i64 base_revision, 3: string operation_id, 4: string operator_name) throws (1: Refusal refusal),
  Answer settle(1: string operation_id) throws (1: Refusal refusal),
  Configuration configuration() throws (1: Refusal refusal),
  Status status() throws (1: Refusal refusal),
  list<EndpointStatus> endpoints() throws (1: Refusal refusal),
  void drain(1: string vm, 2: string operator_name) throws (1: Refusal refusal)
}
