/**
 * @module Constants of the stand-ins.
 */

/** Address that stand-ins listen on; nothing outside of the machine can reach them. */
export const LOOPBACK_ADDRESS = "127.0.0.1";

/** Path of generations at a model runner; the route that faults of versions are held against. */
export const GENERATION_PATH = "/v1/chat/completions";

/** Largest body a stand-in reads; a longer one ends the connection. */
export const LARGEST_BODY_BYTES = 64 * 1024 * 1024;

/** An idle connection is closed after this; clients are told by the Keep-Alive header. */
export const KEEP_ALIVE_MS = 60_000;

/** Time between two comments on a stream without tokens, so that its reader can tell waiting from silence. */
export const STREAM_HEARTBEAT_MS = 500;

/** Cache events an engine keeps for readers; older ones are dropped, which readers see as a gap. */
export const KEPT_CACHE_EVENTS = 4_096;

/** Load samples an engine keeps to answer with an old one. */
export const KEPT_LOAD_SAMPLES = 256;

/** Time between two samples of an engine's load. */
export const LOAD_SAMPLE_MS = 100;

/** Bytes of KV cache for one token; sizes exports. */
export const CACHE_BYTES_PER_TOKEN = 131_072;

/** Writes a second that the table and the object store take before they refuse. */
export const PLATFORM_WRITES_PER_SECOND = 400;

/** Reads a second that the table and the object store take before they refuse. */
export const PLATFORM_READS_PER_SECOND = 2_000;

/** Rows or keys in one listing, whatever limit was asked for. */
export const LARGEST_LISTING = 1_000;

/** Age of the VM list. */
export const VM_LIST_LAG_MS = 2_000;

/** Earlier states of the VM list that are kept to answer with an old one. */
export const KEPT_SNAPSHOTS = 1_000;

/** Time between a start order and the VM being live. */
export const VM_START_MS = 500;

/** Bytes of a version's weights in the weight store. */
export const WEIGHT_BYTES = 8_000_000_000;

/** Bytes a second that the weight store gives out to all readers together. */
export const WEIGHT_BYTES_PER_SECOND = 16_000_000_000;

/** Bytes a second at which one runner reads KV cache from another. */
export const TRANSFER_BYTES_PER_SECOND = 1_250_000_000;

/** Longest wait for weights from the weight store, which serves its readers one after the other. */
export const WEIGHT_WAIT_MS = 600_000;

/** Shortest duration of a call to an application runner. */
export const APPLICATION_LATENCY_MS = 5;
