/**
 * @module Which endpoints are believed to hold which prompt prefixes in their cache. Hints only: events about them come
 * late and some are lost.
 */
import type { Candidate } from "./candidate";

/** The hints. Changed in place by the functions of this folder; owned by one task. */
export interface PrefixIndex {
    /** Endpoints by prefix hash. */
    readonly holders: Map<string, Set<Candidate>>;
    /** Prefix hashes by endpoint, those noted first come first. */
    readonly prefixes: Map<Candidate, Set<string>>;
    /** Number of the newest query. */
    query: number;
    /** Prefixes of the newest query that so many endpoints hold that these weren't noted singly; longest first. */
    readonly common: CommonPrefix[];
}

/** A prefix that many endpoints hold. */
export interface CommonPrefix {
    readonly blocks: number;
    readonly holders: ReadonlySet<Candidate>;
}
