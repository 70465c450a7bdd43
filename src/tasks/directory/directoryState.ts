/**
 * @module What the directory knows of the VMs.
 */
import type { VmRecord } from "../../model/endpoint";

/** One known VM. */
export interface DirectoryEntry {
    readonly record: VmRecord;
    /** Consecutive lists that lacked the VM. */
    readonly missedLists: number;
}

/** A VM incarnation that is leaving or gone. It never counts as live again. */
export interface Departure {
    /** This incarnation and all lower ones have left. */
    readonly incarnation: number;
    readonly reclaimAtWallMs?: number;
    /** When this was last heard of, in epoch milliseconds. */
    readonly lastReportedAtWallMs: number;
}

/** A message that a VM is leaving. `incarnation` is absent where the platform names the VM only. */
export interface DepartureNotice {
    readonly vmId: string;
    readonly incarnation?: number;
    readonly reclaimAtWallMs?: number;
}

/** All that the directory knows; replaced, never changed. */
export interface DirectoryState {
    readonly entries: ReadonlyMap<string, DirectoryEntry>;
    /** Departures by VM id. */
    readonly departures: ReadonlyMap<string, Departure>;
}

/** The directory before the first list. */
export const EMPTY_DIRECTORY: DirectoryState = { entries: new Map(), departures: new Map() };
