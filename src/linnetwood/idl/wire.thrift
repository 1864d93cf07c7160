/** Messages between the system's own processes. */
namespace py linnetwood.gen.wire

/** What one process says of itself; higher incarnation, then higher version, wins. */
struct Member {
  1: required string vm,
  2: required i64 incarnation,
  3: required i64 version,
  4: required string role,
  5: required string availability_zone,
  6: required string region,
  7: required string rack,
  8: required string host,
  9: required i32 port,
  10: required i32 status,
  11: string kind = "",
  12: string model = "",
  13: string serving = "",
  14: list<string> adapters = [],
  15: string wanted = "",
  16: i32 held = 0,
  17: i32 total = 0,
  18: i32 key_epoch = 0,
  19: i32 slots = 1
}

/** Tells a peer which chunks the sender holds. */
struct HeldNotice {
  1: required string sender,
  2: required string manifest,
  3: required binary held,
  4: i32 queued = 0
}

/** One control datagram. */
struct Gossip {
  1: required string sender,
  2: required i64 incarnation,
  3: required i32 kind,
  4: i64 revision = 0,
  5: list<Member> members = [],
  6: binary digests = "",
  7: list<HeldNotice> notices = [],
  8: i32 load = -1
}

/** Opens one exchange on a connection. */
struct Start {
  1: required string call_id,
  2: required string target,
  3: required i64 deadline_ms,
  4: string method = "",
  5: string path = "",
  6: list<string> headers = [],
  7: string version = "",
  8: string adapter = "",
  9: string key = "",
  10: i64 incarnation = 0,
  11: i32 priority = 0,
  12: i64 resume_from = 0,
  13: string traceparent = ""
}

/** First answer to a started call: it was taken up, and by what. */
struct Head {
  1: required string call_id,
  2: required i32 status,
  3: required list<string> headers,
  4: string version = "",
  5: string adapter = "",
  6: i32 in_flight = 0
}

/** Last answer to a started call. */
struct End {
  1: required string call_id,
  2: required i32 outcome,
  3: string code = "",
  4: string detail = "",
  5: i64 length = 0,
  6: i32 in_flight = 0,
  7: i32 retry_after_ms = 0
}

/** Asks a peer for chunks, and tells it what the asker holds. */
struct ChunkRequest {
  1: required string asker,
  2: required string manifest,
  3: required i32 index,
  4: binary held = ""
}

/** Precedes a chunk's bytes, or says that it is not held. */
struct ChunkReply {
  1: required string manifest,
  2: required i32 index,
  3: required bool held_here,
  4: binary held = "",
  5: i32 queued = 0
}

/** Asks for the newest accepted configuration above a revision. */
struct ConfigRequest {
  1: required i64 above
}

/** The newest accepted configuration, as the key-value service holds it. */
struct ConfigReply {
  1: required i64 revision,
  2: binary encoded = ""
}

/** How far a VM's transfer is; asked of a few VMs only when an operator asks. */
struct TransferProgress {
  1: required string wanted,
  2: required i32 held,
  3: required i32 total
}

struct DrainOrder {
  1: required string operator_name
}

/** A version of a model's weights that every engine of a service is to serve. */
struct WantedWeights {
  1: required string target,
  2: required string model,
  3: required i64 version,
  4: required i64 age_ms,
  /** The teller found it named when it came, and only guesses its age. */
  5: bool guessed = 0
}

/** A process beside an engine: its VM's address and availability zone. */
struct PeerPlace {
  1: required string host,
  2: required string zone
}

/** Asks an entry for one of its lists of processes beside engines. */
struct PeersRequest {
  1: required i64 digest
}

/** All processes beside a service's engines, as of a revision of the platform's store. */
struct PeerList {
  1: required i64 revision,
  2: list<PeerPlace> peers = []
}

/** What an entry tells the endpoint process beside an engine. */
struct EntryNews {
  1: required i64 number,
  2: list<WantedWeights> wanted = [],
  4: string origin = "",
  5: i32 chunk_bytes = 0,
  6: i32 chunks = 0,
  7: i32 origin_bytes_per_s = 0,
  /** The availability zone of the entry itself. */
  8: string zone = "",
  /** Of the list of processes beside engines, and the revision it is of. */
  9: i64 peers_digest = 0,
  10: i64 peers_revision = 0,
  /** How far apart the entry wants reports at least; 0 for any pace. */
  11: i32 every_ms = 0,
  /**
   * How many entries this one stands for, in hundredths: it greets a part of
   * the processes, so that each hears a part of the entries.
   */
  12: i32 stands_for_pct = 100
}

/** What an answer of an engine said of it, as the entry that got it tells. */
struct EngineSaid {
  /** A CRC-32 of the name of the life that said it. */
  1: required i64 life,
  /** Calls that it takes in 1,000 s; -1 where it names no limit. */
  2: i64 limit_milli = -1,
  3: bool leaving = 0,
  /** Since the answer came. */
  4: i32 age_ms = 0,
  /**
   * Of what the engine takes from all entries, what whoever hears this may send
   * while it names a limit, in millionths; 0 where that is not known.
   */
  5: i32 part_ppm = 0
}

/** What the endpoint process beside an engine tells entries. */
struct EngineNews {
  2: required i64 number,
  3: i32 waiting = 0,
  4: i32 running = 0,
  7: i64 serving = 0,
  8: bool changing = false,
  /** How many entries there are by what greetings stand for; 0 if unknown. */
  9: i32 entries = 0,
  10: list<WantedWeights> wanted = [],
  /** How long a call's bytes may wait on the way to this VM. */
  11: i32 way_ms = 0,
  /** When the next report is due. */
  12: i32 every_ms = 0,
  /** Unix milliseconds of the engine's start; 0 where it does not tell. */
  13: i64 born = 0,
  /** What answers said last of it; absent where no entry has told of any. */
  14: EngineSaid said,
  /** The engine's pace in thousandths: 1000 is usual, 2500 is 2.5 times slower. */
  15: optional i32 pace_milli
}

/** Some entries of an availability zone: four bytes for each IPv4 address. */
struct ZoneHosts {
  1: required string zone,
  2: binary hosts = ""
}

/** The entries of one availability zone, as an endpoint process there hears them. */
struct NeighbourNews {
  /** Four bytes for each host's IPv4 address. */
  1: binary hosts = "",
  /** A few entries of each other availability zone. */
  2: list<ZoneHosts> elsewhere = []
}

/** Asks an endpoint process which entries there are; an entry that starts does. */
struct EntryAsks {
  1: required string zone
}

/** One datagram between the processes on the users' platform. */
struct News {
  1: EntryNews entry,
  2: EngineNews engine,
  3: HeldNotice held,
  4: NeighbourNews neighbours,
  5: EntryAsks asks,
  6: EngineSaid said
}

/** A key whose payload of a revision is held. */
struct HeldKey {
  1: required string key,
  2: required i64 revision
}

/** Asks an entry to tell what the platform's store holds, from a revision on. */
struct RangeRequest {
  1: required i64 after,
  /** The asker is of another availability zone. */
  2: bool far = 0,
  /** Large payloads that the asker holds, against which others can be told. */
  3: list<HeldKey> held = [],
  /** The history of the store that all these revisions belong to. */
  4: i64 era = 0,
  /**
   * The history in which the asker first read the store; 0 if it has not yet,
   * -1 if it doesn't tell.
   */
  5: i64 first_era = -1
}

/** What the store holds as of a revision; items follow if there are any. */
struct RangePart {
  1: required i64 revision,
  /** Since the teller knew that it knew all; -1 if it never did. */
  2: required i64 age_ms,
  /** Since the teller last got a byte from the store; -1 if it never did. */
  3: required i64 flow_age_ms,
  /** How often the teller found the store away. */
  4: i64 outages = 0,
  5: bool whole = 0,
  6: bool items = 0,
  /** Since the answer began of which that byte is a part; -1 for none. */
  7: i64 flowing_ms = -1,
  /** Since the items were packed, which tell their ages as of then. */
  8: i64 packed_ms = 0,
  /** Told to other zones: whom of its own zone to hear rather, if anybody. */
  9: binary rather = "",
  /** Since the teller read the listener's last request; -1 if it doesn't say. */
  10: i64 asked_ms = -1,
  /** How many requests of the listener it has read. */
  11: i64 requests = 0,
  /** The history of the store that all revisions of this part belong to. */
  12: i64 era = 0,
  /**
   * Packed items that the store lost when it was restored and that hold until
   * they are written again, and the history that they belong to.
   */
  13: binary retained = "",
  14: i64 retained_era = 0
}

/** One key as it was written, or gone. */
struct RangeItem {
  1: required string key,
  2: i64 revision = 0,
  3: binary payload = "",
  4: bool gone = 0,
  5: i64 age_ms = 0,
  /**
   * Where this is not 0, the payload holds the new bytes alone: runs of three
   * numbers tell from where and how many bytes of the payload of this revision
   * are copied, and how many new ones follow. The check is the whole's CRC-32.
   */
  6: i64 base = 0,
  7: list<i32> runs = [],
  8: i64 check = 0
}

/** Items of a part, in order; sent compressed. */
struct RangeItems {
  1: required list<RangeItem> items
}
