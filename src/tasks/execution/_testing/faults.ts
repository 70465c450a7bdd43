/**
 * @module Faults of the fake runners.
 */

/** What goes wrong with one attempt at a model runner. */
export enum StreamFault {
    None = "none",
    /** The connection is refused: nothing is sent. */
    Refused = "refused",
    /** The engine refuses after reading the request, and reports that it ran nothing. */
    RefusedLate = "refused_late",
    /** The connection breaks before the first token. */
    BrokenBefore = "broken_before",
    /** The connection breaks after some tokens. */
    BrokenDuring = "broken_during",
    /** The connection breaks after the last token, before the `Finished` event. */
    BrokenAfter = "broken_after",
    /** The connection stays open, but no token arrives. */
    SilentBefore = "silent_before",
    /** The connection stays open, but nothing arrives after some tokens. */
    SilentDuring = "silent_during",
    /** The stream ends without a last event. */
    Closed = "closed",
    /** A batch arrives twice. */
    Repeated = "repeated",
    /** A batch is missing. */
    Gap = "gap",
    /** A batch overlaps the previous one. */
    Overlap = "overlap",
    /** Tokens already delivered arrive again with other text. */
    Contradicting = "contradicting",
    /** Tokens of another request arrive in between. */
    Foreign = "foreign",
    /** Tokens of an earlier attempt arrive in between. */
    Late = "late",
    /** The last batch is missing, although `Finished` arrives. */
    Short = "short",
    /** The first token takes ten times as long. */
    Slow = "slow",
}

/** What goes wrong with one call to an application runner. */
export enum CallFault {
    None = "none",
    /** The connection is refused: nothing is sent. */
    Refused = "refused",
    /** The call is lost before it has an effect. */
    LostBefore = "lost_before",
    /** The call takes effect and its answer is lost. */
    LostAfter = "lost_after",
    /** The call takes effect and its answer never arrives. */
    Silent = "silent",
}
