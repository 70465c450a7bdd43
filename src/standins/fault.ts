/**
 * @module The faults that stand-ins can be told to have.
 */

/** The kinds of faults. `docs/design/faults.md` lists which stand-in knows which. */
export enum FaultKind {
    // Any stand-in
    /** The listener is closed and open connections are reset until the rule is removed. */
    Down = "down",
    /** Calls are answered with status 503 and the statement that nothing took effect. */
    Unavailable = "unavailable",
    /** The call takes effect `delayMs` late. A caller that gave up before may see the effect later. */
    Slow = "slow",
    /** The call takes effect at once and is answered `delayMs` late. */
    AnswerLate = "answer_late",
    /** The connection is reset instead of the call taking effect. */
    AnswerLostBeforeEffect = "answer_lost_before_effect",
    /** The call takes effect and the connection is reset instead of an answer. */
    AnswerLostAfterEffect = "answer_lost_after_effect",
    /** The call takes effect and the connection is reset in the middle of the answer. */
    AnswerCut = "answer_cut",
    /** The answer is sent twice on the same connection, the second time `delayMs` later. */
    AnswerDoubled = "answer_doubled",
    /** The answer of another call is sent. */
    AnswerCrossed = "answer_crossed",
    /** Connections open when the rule is set carry nothing any more, for good; new ones work. */
    ConnectionsSilent = "connections_silent",
    // Platform
    /** Starts of VMs are refused (`failureDomain`: there only). */
    StartRefused = "start_refused",
    /** Reclaim notices for all reclaimable live VMs (`failureDomain`: there only), gone after `delayMs`. */
    ReclaimNotice = "reclaim_notice",
    /** The VM list is `delayMs` older than usual. */
    VmListLagging = "vm_list_lagging",
    // Runners
    /** Load reports are `delayMs` older than usual. */
    LoadLagging = "load_lagging",
    /** Calls fail with status 500 after they were executed (`version`: of that version only). */
    VersionFailing = "version_failing",
    /** Calls are slower (`version`: of that version only): by `delayMs` a call and a token. */
    VersionSlow = "version_slow",
    // Model runners
    /** Cache events appear `delayMs` late. */
    CacheEventsLate = "cache_events_late",
    /** A `share` of the cache events is lost; the sequence number still rises. */
    CacheEventsLost = "cache_events_lost",
    /** Orders with old fencing tokens are carried out. */
    FencingIgnored = "fencing_ignored",
    /** The connection is reset after `afterTokens` tokens of a stream. */
    StreamCut = "stream_cut",
    /** Nothing more is sent after `afterTokens` tokens of a stream; the connection stays open. */
    StreamSilent = "stream_silent",
    /**
     * As the answer begins, all connections are reset and the listener is closed; the runner is back after `delayMs`,
     * with an empty KV cache.
     */
    Crash = "crash",
}

/** One fault and when it strikes. Conditions that are absent always hold. */
export interface FaultRule {
    readonly kind: FaultKind;
    /** Strikes calls whose path starts so. */
    readonly route?: string;
    /** Strikes while the runner serves this version. */
    readonly version?: string;
    /** Strikes VMs of this failure domain. */
    readonly failureDomain?: string;
    /** Strikes prompts that contain this text. */
    readonly promptText?: string;
    /** Share of the calls it strikes, 0 to 1, drawn from the stand-in's seed. */
    readonly share?: number;
    /** Strikes so many calls, then no more. */
    readonly times?: number;
    /** Strikes only this long after the rule was set, in milliseconds. */
    readonly afterMs?: number;
    /** Strikes only while at least this many requests are being executed. */
    readonly minimumRunning?: number;
    /** Strikes after this many tokens of a stream. */
    readonly afterTokens?: number;
    readonly delayMs?: number;
}

/** What a rule's conditions are held against. */
export interface FaultFacts {
    readonly route?: string;
    readonly version?: string;
    readonly failureDomain?: string;
    readonly running?: number;
    readonly promptText?: string;
}

/** Fault switches that every stand-in has. */
export interface FaultSwitches {
    /**
     * Replaces the rules in force. The same rules can be posted as `{ "faults": [...] }` to `/faults`; `down` and
     * `connections_silent` to the control port, since they strike the connection that carries them too.
     */
    setFaults(rules: readonly FaultRule[]): void;
}
