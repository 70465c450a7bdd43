/**
 * @module The state of the directory: the known VMs and departures.
 */
import type { VmRecord } from "../../model/endpoint";

/** A known VM. */
export interface DirectoryEntry {
    readonly record: VmRecord;
    /** Number of consecutive lists that omitted the VM. */
    readonly missedLists: number;
}

/** The departure of a VM. The incarnation that left never counts as live again. */
export interface Departure {
    /** This incarnation and all lower ones are leaving or gone. */
    readonly incarnation: number;
    readonly reclaimAtWallMs?: number;
    /** When a list or notice last reported the departure, in epoch milliseconds. */
    readonly lastReportedAtWallMs: number;
}

/** A notice that a VM is leaving, from the platform or from another node. */
export interface DepartureNotice {
    readonly vmId: string;
    /** Absent in notices of the platform, which name only the VM. */
    readonly incarnation?: number;
    readonly reclaimAtWallMs?: number;
}

/** The immutable state of the directory. */
export interface DirectoryState {
    readonly entries: ReadonlyMap<string, DirectoryEntry>;
    /** Departures by VM id. */
    readonly departures: ReadonlyMap<string, Departure>;
}

/** The state before the first list. */
export const EMPTY_DIRECTORY: DirectoryState = { entries: new Map(), departures: new Map() };
