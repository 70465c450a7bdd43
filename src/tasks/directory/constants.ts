/**
 * @module Constants of the directory task.
 */

/** Minimum interval between reads of the platform's VM list; a new VM may wait this long for its first work. */
export const LIST_POLL_INTERVAL_MS = 2_000;
/** Minimum interval between reads of the reclaim notices; a leaving VM may still get new work for this long. */
export const NOTICE_POLL_INTERVAL_MS = 500;
/** Most reads a second of the list, and of the notices, by all nodes together; more nodes each poll more rarely. */
export const MAXIMUM_TOTAL_POLLS_PER_SECOND = 100;
/** Fraction of the interval by which a delay may be shorter or longer, so that nodes do not poll in step. */
export const POLL_JITTER_FRACTION = 0.25;
/** Consecutive lists that must omit a VM before it is removed, so that one stale list removes nothing. */
export const MISSED_LISTS_BEFORE_REMOVAL = 3;
/** The same for a list that omits most known VMs at once, which is more likely a faulty list than a real loss. */
export const MISSED_LISTS_BEFORE_BULK_REMOVAL = 10;
/** A list that omits more than this fraction of the known VMs counts as a bulk loss. */
export const BULK_LOSS_FRACTION = 0.5;
/** How long after its reclaim time a VM is still listed as leaving; allows for clock skew between machines. */
export const RECLAIM_GRACE_MS = 5_000;
/** How long a departure is retained, so that a stale list or message can't make the VM live again. */
export const DEPARTURE_RETENTION_MS = 3_600_000;
/** Most departures retained; at 460 VM replacements a day this covers about three weeks. */
export const MAXIMUM_DEPARTURES = 10_000;
/** Messages that the task's inbox holds; a poll result that doesn't fit is dropped, since the next one replaces it. */
export const INBOX_CAPACITY = 1_024;
