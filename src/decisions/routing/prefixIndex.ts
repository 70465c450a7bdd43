/**
 * @module The index of prompt prefixes that endpoints are believed to hold in their caches. Its entries are hints:
 * cache events arrive late and some are lost.
 */
import type { Candidate } from "./candidate";

/** The index. Changed in place by the functions of this folder; owned by one task. */
export interface PrefixIndex {
    /** Endpoints by prefix hash. */
    readonly holders: Map<string, Set<Candidate>>;
    /** Prefix hashes by endpoint, in the order in which they were recorded. */
    readonly prefixes: Map<Candidate, Set<string>>;
    /** Number of the latest query; it rises with each call of `findCachedBlocks`. */
    query: number;
    /** Prefixes of the latest query with too many holders to mark each of them, longest first. */
    readonly commonPrefixes: CommonPrefix[];
}

/** A prefix that more than `MARKED_HOLDERS_LIMIT` endpoints hold. */
export interface CommonPrefix {
    /** Length of the prefix in blocks. */
    readonly blocks: number;
    readonly holders: ReadonlySet<Candidate>;
}
