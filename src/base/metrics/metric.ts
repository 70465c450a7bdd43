/**
 * @module All metrics: names, kinds, units, tags and descriptions. `docs/METRICS.md` lists exactly these.
 */

/** Kinds of metrics. */
export enum MetricKind {
    /** A sum that only increases. */
    Counter = "counter",
    /** The latest value. */
    Gauge = "gauge",
    /** A distribution of durations. */
    Timing = "timing",
}

/** Units of metrics. */
export enum MetricUnit {
    Count = "count",
    Milliseconds = "ms",
    Bytes = "bytes",
    Tokens = "tokens",
    Ratio = "ratio",
}

/** Tags of metrics. Each has low cardinality: the number of its values does not grow with the number of requests. */
export enum MetricTag {
    Account = "account",
    Class = "class",
    Invariant = "invariant",
    Operation = "operation",
    Origin = "origin",
    Outcome = "outcome",
    Service = "service",
    Task = "task",
    Version = "version",
}

/** Every metric, with its name in statsd after the prefix `redwinglift.`. */
export enum Metric {
    RequestsFinished = "requests.finished",
    RequestsOpen = "requests.open",
    FirstTokenTime = "answers.first_token",
    TokenGap = "answers.token_gap",
    AnswerTime = "answers.whole",
    TokensGenerated = "tokens.generated",
    TokensRecomputed = "tokens.recomputed",
    AdmissionWaiting = "admission.waiting",
    AdmissionWait = "admission.wait",
    AdmissionRefused = "admission.refused",
    Attempts = "routing.attempts",
    RetriesRefused = "routing.retries_refused",
    Resumes = "routing.resumes",
    LateAnswersDropped = "routing.late_answers_dropped",
    EstimateError = "routing.estimate_error",
    SilentConnections = "routing.silent_connections",
    ClaimsMade = "claims.made",
    ClaimsUnknown = "claims.unknown",
    JobsAccepted = "jobs.accepted",
    JobsEnded = "jobs.ended",
    JobsOpen = "jobs.open",
    StoreOperations = "store.operations",
    StoreTime = "store.time",
    ConfigurationRevision = "configuration.revision",
    NodesLive = "nodes.live",
    NodesSuspect = "nodes.suspect",
    ExchangeBytes = "exchange.bytes",
    VmsLeaving = "vms.leaving",
    MoveShare = "versions.share",
    MovesEnded = "versions.moves_ended",
    VersionsBraked = "versions.braked",
    FleetVms = "fleet.vms",
    InvariantViolations = "invariants.breaches",
    TaskFailures = "tasks.failures",
    UnhandledErrors = "errors.unhandled",
    OperatorRequests = "operators.requests",
    ListenerLimits = "listeners.limited",
    ResidentMemory = "process.resident_memory",
    EventLoopDelay = "process.event_loop_delay",
}

/** Properties of a metric. */
export interface MetricDescription {
    readonly kind: MetricKind;
    readonly unit: MetricUnit;
    readonly tags: readonly MetricTag[];
    readonly description: string;
}

const { Counter, Gauge, Timing } = MetricKind;
const { Bytes, Count, Milliseconds, Ratio, Tokens } = MetricUnit;
const { Class, Invariant, Operation, Origin, Outcome, Service, Task, Version } = MetricTag;

/** Kind, unit, tags and meaning of each metric. */
export const METRIC_DESCRIPTIONS: Readonly<Record<Metric, MetricDescription>> = {
    [Metric.RequestsFinished]: define(Counter, Count, [Class, Outcome], "Requests ended, by `ok` or kind of failure"),
    [Metric.RequestsOpen]: define(Gauge, Count, [], "Requests in progress on this node"),
    [Metric.FirstTokenTime]: define(Timing, Milliseconds, [Class], "From the request to its first token"),
    [Metric.TokenGap]: define(Timing, Milliseconds, [Class], "Mean time between the tokens of one attempt"),
    [Metric.AnswerTime]: define(Timing, Milliseconds, [Class], "From the request to the end of its answer"),
    [Metric.TokensGenerated]: define(Counter, Tokens, [Class], "Tokens sent to callers"),
    [Metric.TokensRecomputed]: define(Counter, Tokens, [Class], "Tokens prefilled again by a resumed request"),
    [Metric.AdmissionWaiting]: define(Gauge, Count, [Class], "Requests waiting for admission"),
    [Metric.AdmissionWait]: define(Timing, Milliseconds, [Class], "Time that admitted requests have waited"),
    [Metric.AdmissionRefused]: define(Counter, Count, [Class, Outcome], "Requests refused, by kind of failure"),
    [Metric.Attempts]: define(Counter, Count, [Service, Version, Outcome], "Attempts at endpoints, by how they ended"),
    [Metric.RetriesRefused]: define(Counter, Count, [Class], "Retries that the retry budget refused"),
    [Metric.Resumes]: define(Counter, Count, [Class], "Streams resumed on another model runner"),
    [Metric.LateAnswersDropped]: define(Counter, Count, [Service], "Answers of attempts that were over already"),
    [Metric.EstimateError]: define(
        Timing,
        Milliseconds,
        [Service],
        "Distance of estimated and seen time to first token",
    ),
    [Metric.SilentConnections]: define(Counter, Count, [Service], "Connections closed because nothing came any more"),
    [Metric.ClaimsMade]: define(Counter, Count, [Service, Outcome], "Execution claims of calls that may run once only"),
    [Metric.ClaimsUnknown]: define(Counter, Count, [Service], "Claims whose outcome stayed unknown"),
    [Metric.JobsAccepted]: define(Counter, Count, [Class], "Durable jobs accepted"),
    [Metric.JobsEnded]: define(Counter, Count, [Class, Outcome], "Durable jobs ended, by state"),
    [Metric.JobsOpen]: define(Gauge, Count, [], "Durable jobs that this node works on"),
    [Metric.StoreOperations]: define(
        Counter,
        Count,
        [Operation, Outcome],
        "Calls to the platform's table and object store",
    ),
    [Metric.StoreTime]: define(Timing, Milliseconds, [Operation], "Duration of calls to the platform's store"),
    [Metric.ConfigurationRevision]: define(Gauge, Count, [], "Revision in force on this node"),
    [Metric.NodesLive]: define(Gauge, Count, [], "Nodes believed alive"),
    [Metric.NodesSuspect]: define(Gauge, Count, [], "Nodes suspected of having failed"),
    [Metric.ExchangeBytes]: define(Counter, Bytes, [], "Bytes sent to other nodes"),
    [Metric.VmsLeaving]: define(Gauge, Count, [], "VMs known to be leaving"),
    [Metric.MoveShare]: define(Gauge, Ratio, [Service], "Share of new requests that goes to the new version"),
    [Metric.MovesEnded]: define(
        Counter,
        Count,
        [Service, Outcome],
        "Version moves that this node saw end, by `done` or `taken_back`",
    ),
    [Metric.VersionsBraked]: define(
        Counter,
        Count,
        [Service, Version],
        "Versions that this node stopped sending work to",
    ),
    [Metric.FleetVms]: define(Gauge, Count, [Service], "Live VMs behind a service"),
    [Metric.InvariantViolations]: define(Counter, Count, [Invariant], "Invariants found broken"),
    [Metric.TaskFailures]: define(Counter, Count, [Task], "Failures that tasks reported"),
    [Metric.UnhandledErrors]: define(
        Counter,
        Count,
        [Origin],
        "Errors that no part of the process has handled, by `rejection` or `exception`",
    ),
    [Metric.OperatorRequests]: define(Counter, Count, [Operation, Outcome], "Requests of operators"),
    [Metric.ListenerLimits]: define(
        Counter,
        Count,
        [Operation, Outcome],
        "Connections of `callers` or `operators` not read or closed because of what they sent ahead or didn't read",
    ),
    [Metric.ResidentMemory]: define(Gauge, Bytes, [], "Resident memory of the process"),
    [Metric.EventLoopDelay]: define(Timing, Milliseconds, [], "How late timers of the process fire"),
};

function define(
    kind: MetricKind,
    unit: MetricUnit,
    tags: readonly MetricTag[],
    description: string,
): MetricDescription {
    return { kind, unit, tags, description };
}
