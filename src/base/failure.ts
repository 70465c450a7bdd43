/**
 * @module The typed failures of the whole program. Errors are always reported as a `Failure`, never as a bare string.
 */

/** Whether an endpoint executed a request, as far as is known. */
export enum Execution {
    /** No byte of the request can have reached an endpoint. */
    NotRun = "not_run",
    /** The request may or may not have been executed. */
    Unknown = "unknown",
    /** An endpoint executed the request. */
    Ran = "ran",
}

/** Every kind of failure. `src/http/failureStatus.ts` maps each to an HTTP status. */
export enum FailureKind {
    // Errors in the caller's request
    MalformedBody = "malformed_body",
    /** The body is not valid UTF-8. */
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
    /** The caller sent its request, or read the response, too slowly. */
    CallerTooSlow = "caller_too_slow",
    /** The caller closed the connection. */
    CallerGone = "caller_gone",
    TooManyConnections = "too_many_connections",
    /** The bodies of other requests take the memory that the node has for them. */
    MemoryExhausted = "memory_exhausted",
    IdempotencyKeyReused = "idempotency_key_reused",
    IdempotencyKeyRequired = "idempotency_key_required",
    /** An earlier request with the same idempotency key is still in progress. */
    IdempotencyKeyInProgress = "idempotency_key_in_progress",
    // Admission
    Overloaded = "overloaded",
    /** The latency target can't be met, not even by an idle endpoint. */
    TargetUnreachable = "target_unreachable",
    CostCeilingExceeded = "cost_ceiling_exceeded",
    QuotaExceeded = "quota_exceeded",
    ShuttingDown = "shutting_down",
    /** An error inside the node ended the request before it was sent on. */
    NodeFailed = "node_failed",
    /** Requests with the same prompt part crashed endpoints. */
    PromptQuarantined = "prompt_quarantined",
    // Execution on an endpoint
    NoEndpoint = "no_endpoint",
    DeadlineExceeded = "deadline_exceeded",
    EndpointFailed = "endpoint_failed",
    /** The endpoint, or another node, gave no answer in time or stopped sending in the middle of one. */
    EndpointSilent = "endpoint_silent",
    /** The endpoint rejected the request. */
    EndpointRefused = "endpoint_refused",
    /** An attempt may have been executed, but its outcome is not known. */
    OutcomeUnknown = "outcome_unknown",
    Cancelled = "cancelled",
    // The platform's table, object store and cloud API
    StoreUnavailable = "store_unavailable",
    StoreConflict = "store_conflict",
    /** A watched table no longer keeps the changes since the requested revision. */
    HistoryLost = "history_lost",
    /** Another node that passes on rows of the store did not answer, or its rows are out of date. */
    RelayUnavailable = "relay_unavailable",
    /** The store's answer was lost; the write may have taken effect. */
    StoreOutcomeUnknown = "store_outcome_unknown",
    PlatformRefused = "platform_refused",
    // Configuration, settings and leases
    InvalidConfiguration = "invalid_configuration",
    RevisionConflict = "revision_conflict",
    InvalidSettings = "invalid_settings",
    /** An address of the settings could not be listened on in time. */
    AddressUnavailable = "address_unavailable",
    LeaseLost = "lease_lost",
    // Faults of the program itself
    TaskFailed = "task_failed",
    InvariantBroken = "invariant_broken",
    Internal = "internal",
}

/** A failure: its kind, a human-readable message, and whether the request was executed. */
export interface Failure {
    readonly kind: FailureKind;
    /** A human-readable sentence. Contains no keys and no request bodies. */
    readonly message: string;
    readonly execution: Execution;
    /** Milliseconds after which a retry may succeed; absent if a retry is of no use. */
    readonly retryAfterMs?: number;
    /** Further machine-readable data, for example the revision that won a race. */
    readonly details?: Readonly<Record<string, unknown>>;
}
