/**
 * @module The faults that the fake runners can show.
 */

/** What goes wrong with one attempt at a model runner. */
export enum StreamFault {
    None = "none",
    /** The connection is refused: nothing is sent. */
    Refused = "refused",
    /** The engine refuses after it has read the request, and says that it ran nothing. */
    RefusedLate = "refused_late",
    /** The connection breaks before the first token. */
    BrokenBefore = "broken_before",
    /** The connection breaks after some tokens. */
    BrokenDuring = "broken_during",
    /** The connection breaks after the last token, before the end is said. */
    BrokenAfter = "broken_after",
    /** Nothing comes any more before the first token. */
    SilentBefore = "silent_before",
    /** Nothing comes any more after some tokens. */
    SilentDuring = "silent_during",
    /** The stream ends without a last event. */
    Closed = "closed",
    /** A batch comes twice. */
    Repeated = "repeated",
    /** A batch is missing. */
    Gap = "gap",
    /** A batch overlaps the one before. */
    Overlap = "overlap",
    /** Delivered positions come again with other text. */
    Contradicting = "contradicting",
    /** Tokens of another request come in between. */
    Foreign = "foreign",
    /** Tokens of an earlier attempt come in between. */
    Late = "late",
    /** The last batch is missing although the end is said. */
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
    /** The call has its effect and its answer is lost. */
    LostAfter = "lost_after",
    /** The call has its effect and its answer never comes. */
    Silent = "silent",
}
