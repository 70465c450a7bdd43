/**
 * @module Constants of the directory task.
 */

/** Shortest time between two reads of the platform's VM list; a new VM gets work no sooner than this. */
export const LIST_POLL_INTERVAL_MS = 2_000;
/** Shortest time between two reads of the reclaim notices; it bounds how long a leaving VM still gets new work. */
export const NOTICE_POLL_INTERVAL_MS = 500;
/** All nodes together read the list, and the notices, at most this often; more nodes poll more rarely each. */
export const MAXIMUM_TOTAL_POLLS_PER_SECOND = 100;
/** Each wait between polls is drawn from this share below and above the interval, so that nodes spread out. */
export const POLL_JITTER_FRACTION = 0.25;
/** Consecutive lists that must lack a VM before it is dropped; one late list drops nothing. */
export const MISSED_LISTS_BEFORE_REMOVAL = 3;
/** The same where a list lacks most known VMs at once, which a broken list explains better than a real loss. */
export const MISSED_LISTS_BEFORE_BULK_REMOVAL = 10;
/** A list that lacks more than this share of the known VMs counts as a bulk loss. */
export const BULK_LOSS_FRACTION = 0.5;
/** How long after its reclaim time a VM is still shown as leaving; covers clocks that differ between machines. */
export const RECLAIM_GRACE_MS = 5_000;
/** How long a departed VM is remembered, so that a late list or message can't bring it back. */
export const DEPARTURE_RETENTION_MS = 3_600_000;
/** Most departed VMs remembered; at 460 replacements a day this is some weeks' worth. */
export const MAXIMUM_DEPARTURES = 10_000;
/** Messages that may wait for the task; a poll result that finds no room is dropped, the next one replaces it. */
export const INBOX_CAPACITY = 1_024;
