/**
 * @module The typed failures of the whole program. Nothing fails with a bare string.
 */

/** What is known about whether a request was executed by an endpoint. */
export enum Execution {
    /** No byte of the request can have reached an endpoint. */
    NotRun = "not_run",
    /** The request may or may not have been executed. */
    Unknown = "unknown",
    /** An endpoint executed the request. */
    Ran = "ran",
}

/** Every kind of failure. Its HTTP status stands in `src/faces/failureStatus.ts`. */
export enum FailureKind {
    // The caller's request
    MalformedBody = "malformed_body",
    InvalidText = "invalid_text",
    BodyTooLarge = "body_too_large",
    InvalidRequest = "invalid_request",
    NotFound = "not_found",
    MethodNotAllowed = "method_not_allowed",
    Unauthenticated = "unauthenticated",
    Forbidden = "forbidden",
    UnknownClass = "unknown_class",
    UnknownModel = "unknown_model",
    UnknownService = "unknown_service",
    CallerTooSlow = "caller_too_slow",
    CallerGone = "caller_gone",
    TooManyConnections = "too_many_connections",
    IdempotencyKeyReused = "idempotency_key_reused",
    IdempotencyKeyRequired = "idempotency_key_required",
    IdempotencyKeyInProgress = "idempotency_key_in_progress",
    // Admission
    Overloaded = "overloaded",
    TargetUnreachable = "target_unreachable",
    CostCeilingExceeded = "cost_ceiling_exceeded",
    QuotaExceeded = "quota_exceeded",
    ShuttingDown = "shutting_down",
    // Execution
    NoEndpoint = "no_endpoint",
    DeadlineExceeded = "deadline_exceeded",
    EndpointFailed = "endpoint_failed",
    EndpointSilent = "endpoint_silent",
    EndpointRefused = "endpoint_refused",
    OutcomeUnknown = "outcome_unknown",
    Cancelled = "cancelled",
    // The platform
    StoreUnavailable = "store_unavailable",
    StoreConflict = "store_conflict",
    HistoryLost = "history_lost",
    StoreOutcomeUnknown = "store_outcome_unknown",
    PlatformRefused = "platform_refused",
    // Operators
    InvalidConfiguration = "invalid_configuration",
    RevisionConflict = "revision_conflict",
    InvalidSettings = "invalid_settings",
    LeaseLost = "lease_lost",
    // The program itself
    TaskFailed = "task_failed",
    InvariantBroken = "invariant_broken",
    Internal = "internal",
}

/** One failure: its kind, a message for people, and what is known about execution. */
export interface Failure {
    readonly kind: FailureKind;
    /** A sentence for people. Holds no keys and no request bodies. */
    readonly message: string;
    readonly execution: Execution;
    /** Milliseconds after which trying again may help; absent where it would not. */
    readonly retryAfterMs?: number;
    /** Further facts for machines, for example the revision that won a race. */
    readonly details?: Readonly<Record<string, unknown>>;
}
