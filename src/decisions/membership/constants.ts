/**
 * @module Intervals and limits of membership and of the gossip exchange between nodes.
 */

/** Time between two exchanges that a node begins. It determines the cost of an idle node. */
export const EXCHANGE_PERIOD_MS = 700;
/** Rings from which a node takes its neighbours in its region. As many nodes of the region detect its failure. */
export const REGION_RINGS = 2;
/** Rings from which a node takes its neighbours among all nodes. They determine the traffic between regions. */
export const GLOBAL_RINGS = 2;
/** Time from suspicion to death of a single node; it allows for a VM pause and for a lost refutation. */
export const SUSPICION_TIMEOUT_MS = 5_000;
/** Time from suspicion to death during an outage of the node's failure domain. */
export const DOMAIN_SUSPICION_TIMEOUT_MS = 60_000;
/** Time from suspicion to death during an outage of the node's region: partitions between regions last minutes. */
export const REGION_SUSPICION_TIMEOUT_MS = 900_000;
/** Share of suspected nodes in a region, failure domain or all nodes above which they count as one outage. */
export const GROUP_OUTAGE_SHARE = 0.5;
/** Minimum number of suspected nodes in an outage. */
export const MINIMUM_GROUP_SUSPECTS = 2;
/** Gap between two ticks above which this node was itself paused, so that suspicions don't age during the gap. */
export const OWN_PAUSE_THRESHOLD_MS = 1_500;
/** Time for which the entry of a dead or departed node is kept. */
export const TOMBSTONE_LIFETIME_MS = 900_000;
/** Number of groups in a digest, and of parts into which the detail divides a group. */
export const DIGEST_GROUPS = 16;
/** Bytes per second that a node may send to other nodes, including framing; it receives about as many. */
export const SEND_BYTES_PER_SECOND = 1_800;
/** Largest send budget that can accumulate for a burst. */
export const SEND_BURST_BYTES = 10_000;
/** Lower bound of the send budget, so that heartbeats sent while many nodes join don't silence a node for long. */
export const MINIMUM_SEND_BUDGET_BYTES = -2_000;
/** Maximum total size of the entries in a message. */
export const MAXIMUM_ENTRIES_BYTES = 1_200;
/** Size available for entries when the send budget is used up, so that each heartbeat carries some updates. */
export const MINIMUM_ENTRIES_BYTES = 160;
/** Send budget above which an exchange may follow another immediately. */
export const FOLLOW_UP_RESERVE_BYTES = 3_500;
/** Part of the send budget reserved for entries that aren't replaceable, so that urgent ones are sent immediately. */
export const URGENT_RESERVE_BYTES = 2_500;
/** Lowest priority number of replaceable topics, whose entries are soon superseded by newer ones. */
export const REPLACEABLE_PRIORITY = 4;
/** Size of a message without its entries: framing, digest and the bitmap of nodes that have applied a revision. */
export const MESSAGE_BASE_BYTES = 400;
/** Number of times that a node sends an entry, in addition to the binary logarithm of the number of nodes. */
export const EXTRA_SENDS = 2;
/** Maximum payload size of an update; the exchange refuses larger ones. */
export const MAXIMUM_UPDATE_BYTES = 1_000;
/** Maximum number of entries held; the oldest replaceable ones are dropped first. */
export const MAXIMUM_HELD_ENTRIES = 20_000;
/** Time between two attempts to contact an unreachable member, or a listed node that is not a member yet. */
export const RECONNECT_PERIOD_MS = 10_000;
/** Timeout of an exchange, and of a probe on a new connection. */
export const EXCHANGE_TIMEOUT_MS = 1_000;
/** Timeout of a probe through another node, which itself waits `EXCHANGE_TIMEOUT_MS` for the target. */
export const INDIRECT_PROBE_TIMEOUT_MS = 2_000;
/** Number of other nodes that are asked to probe a node that did not answer. */
export const INDIRECT_PROBES = 2;
/** Timeout of a request for configuration changes or for a snapshot of all entries. */
export const BULK_TIMEOUT_MS = 3_000;
/** Time after its start during which a node contacts unknown nodes of the platform's list every `JOIN_PERIOD_MS`. */
export const JOIN_WINDOW_MS = 60_000;
/** Time between two such contacts; the first exchanges of many nodes that start together depend on it. */
export const JOIN_PERIOD_MS = 1_400;
/** Delay before newly learned applied revisions are sent on, so that those of several nodes share a message. */
export const APPLIED_REVISIONS_DELAY_MS = 150;
/** Time between two snapshot requests to a listed node that stays unknown under its listed address. */
export const SEED_RETRY_INTERVAL_MS = 300_000;
