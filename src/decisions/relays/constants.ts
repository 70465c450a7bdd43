/**
 * @module Time limits of the news between nodes, shared by the modules that collect and judge it.
 */

/** Time between two reports of a node, and between two summaries and views of a relay. */
export const NEWS_PERIOD_MS = 250;
/** A sender from which nothing arrived for this long counts as unreachable. */
export const UNREACHABLE_AFTER_MS = 1_000;
/** A node from which no relay heard for this long counts as dead: without contact it stops serving earlier. */
export const MEMBER_TIMEOUT_MS = 9_000;
/** Time within which usage counts as recent, for the estimate of what was not reported yet. */
export const RECENT_USAGE_MS = 500;
/** Longest time until a report has reached all nodes: three periods, and a trip between regions. */
export const NEWS_DELAY_MAX_MS = 3 * NEWS_PERIOD_MS + 50;
/** Most prompt parts in one message, and most crashes that it names of each part. */
export const SUSPECTS_MAX = 32;
export const CRASHES_PER_PART_MAX = 5;
/** Crashes that are older than this are no longer passed on. */
export const CRASH_RETENTION_MS = 600_000;
/** Evidence on prompt parts that a silent node or failure domain sent counts for this long. */
export const SILENT_EVIDENCE_MS = 60_000;
/** Mean time until a report has reached the other nodes: half of the periods on the way. */
export const NEWS_DELAY_USUAL_MS = 400;
