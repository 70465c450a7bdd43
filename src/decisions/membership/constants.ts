/**
 * @module Periods and bounds of membership and of the exchange between nodes.
 */

/** Time between two exchanges that a node begins. The cost of an idle node follows from it. */
export const EXCHANGE_PERIOD_MS = 700;
/** Rings that give a node its neighbours within its region. A dead node is noticed by as many others. */
export const REGION_RINGS = 2;
/** Rings that give a node its neighbours among all nodes. Traffic between regions follows from it. */
export const GLOBAL_RINGS = 2;
/** How long a node stays suspected before it is taken for dead; it covers a pause of a VM and a lost refutation. */
export const SUSPICION_MS = 5_000;
/** How long the nodes of a failure domain that was lost as a whole stay suspected. */
export const DOMAIN_HOLD_MS = 60_000;
/** How long the nodes of a region that was lost as a whole stay suspected: regions lose each other for minutes. */
export const REGION_HOLD_MS = 900_000;
/** Share of a region's or domain's nodes that must be suspected for it to count as lost as a whole. */
export const GROUP_LOST_SHARE = 0.5;
/** Nodes that a region or domain must have for that. */
export const GROUP_LOST_MINIMUM = 2;
/** A gap between two ticks from which on this node counts as paused itself, and judges nobody by older evidence. */
export const OWN_PAUSE_MS = 1_500;
/** How long it is remembered that a node died or left. */
export const TOMBSTONE_MS = 900_000;
/** Groups of entries in a digest, and parts of a group in its detail. */
export const DIGEST_GROUPS = 16;
/** Bytes a second that a node may send to others, framing included; it receives about as many. */
export const SENT_BYTES_PER_SECOND = 1_800;
/** Unused bytes that may be saved up for a burst. */
export const SENT_BURST_BYTES = 10_000;
/** Lowest state of the budget: signs of life in a rush of joining nodes do not mute a node for long afterwards. */
export const SENT_DEBT_BYTES = -2_000;
/** Largest sum of entries in one message. */
export const ENTRIES_MAX_BYTES = 1_200;
/** Room for entries in a message when the budget is used up: a sign of life always carries some news. */
export const ENTRIES_MINIMUM_BYTES = 160;
/** Bytes that must be left for one exchange to follow another at once. */
export const FOLLOW_UP_RESERVE_BYTES = 3_500;
/** Bytes kept back from updates that are soon replaced, so that urgent ones go out at once. */
export const URGENT_RESERVE_BYTES = 2_500;
/** Topics of this priority and beyond are soon replaced by newer updates. */
export const REPLACEABLE_PRIORITY = 4;
/** Bytes of a message besides its entries: framing, digest and bits of who has applied a revision. */
export const MESSAGE_BASE_BYTES = 400;
/** Times an entry is sent on, besides the logarithm of the number of nodes. */
export const EXTRA_TRANSMITS = 2;
/** Largest payload of an update; a larger one is refused by the exchange. */
export const UPDATE_MAX_BYTES = 1_000;
/** Entries held at most; the oldest replaceable ones go first. */
export const ENTRIES_HELD_MAX = 20_000;
/** Time between two tries to reach a node that is out of reach, or one of the platform's list that is not known yet. */
export const RECONNECT_PERIOD_MS = 10_000;
/** Bound of an exchange, and of a probe on a new connection. */
export const EXCHANGE_TIMEOUT_MS = 1_000;
/** Bound of a probe through another node, which itself waits `EXCHANGE_TIMEOUT_MS` for the target. */
export const INDIRECT_PROBE_TIMEOUT_MS = 2_000;
/** Other nodes asked to probe a node that did not answer. */
export const INDIRECT_PROBES = 2;
/** Bound of a request for changes or for a snapshot. */
export const BULK_TIMEOUT_MS = 3_000;
/** For so long after its start a node looks for listed nodes that it does not know, every `JOIN_PERIOD_MS`. */
export const JOIN_MS = 60_000;
/** Time between two such looks; the first exchanges of many nodes that start together depend on it. */
export const JOIN_PERIOD_MS = 1_400;
/** Wait before what is new about applied revisions is passed on; news of several nodes go together. */
export const SPREAD_DELAY_MS = 150;
/** Time between two snapshots read from one listed node that stays unknown under its listed address. */
export const SEED_REPEAT_MS = 300_000;
