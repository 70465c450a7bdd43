/**
 * @module What each role costs one node at the design size, from the measured slopes.
 */
import { computeCachePeriod } from "../../../src/decisions/routing/computeCachePeriod";
import { computeReportPeriod } from "../../../src/decisions/routing/computeReportPeriod";
import {
    CACHE_EVENT_BYTES,
    DIGEST_BYTES_PER_SECOND,
    LOAD_REPORT_BYTES,
} from "../../../src/decisions/routing/constants";
import { TICK_MS as ROUTING_TICK_MS } from "../../../src/decisions/routing/constants";
import { PLAN_INTERVAL_MS, TICK_INTERVAL_MS as FLEET_TICK_MS } from "../../../src/tasks/fleet/constants";
import { LIST_POLL_INTERVAL_MS } from "../../../src/tasks/directory/constants";
import { computePollDelay } from "../../../src/tasks/directory/computePollDelay";
import { PRICE_REFRESH_PERIOD_MS } from "../../../src/tasks/routing/constants";
import { EVIDENCE_BYTES_PER_SECOND, TICK_MS as VERSION_TICK_MS } from "../../../src/tasks/versions/constants";
import { ASSUMED, DESIGN, SECONDS_PER_DAY } from "./designSize";
import type { Figures } from "./figures";
import { computeProduct, computeQuotient, readFigureAt, sumTerms, takeFigure, takeNumber, type Term } from "./term";

/** What a row adds to. */
export enum Resource {
    CorePercent = "% of a core",
    Mebibytes = "MiB",
    BytesPerSecond = "bytes/s",
    Count = "",
}

/** One derived quantity of a role. */
export interface RoleRow {
    readonly role: string;
    readonly what: string;
    readonly resource: Resource;
    readonly term: Term;
    /** Whether it counts against the bounds on control. */
    readonly isControl: boolean;
}

const MICROS_PER_PERCENT = takeNumber(10_000, "µs");
const MEBIBYTE = takeNumber(2 ** 20);
const VMS = DESIGN.nodes + DESIGN.runners;
const LIST_CHANGES_PER_VM = 3;
/** A lower bound: each request leaves at least one new prefix at its runner. */
const CACHE_EVENTS_PER_REQUEST = 1;

/**
 * Estimates the rows of all roles.
 *
 * @param figures - The measured figures
 * @returns Rows in the order of the page
 * @example
 * estimateRoles(readFigures());
 */
export function estimateRoles(figures: Figures): readonly RoleRow[] {
    return [
        ...estimateEntry(figures),
        ...estimateAdmission(figures),
        ...estimateRouting(figures),
        ...estimateDirectory(figures),
        ...estimateMembership(figures),
        ...estimateConfiguration(figures),
        ...estimateCommit(figures),
        ...estimateMoves(figures),
        ...estimateFleet(figures),
        ...estimateWatching(figures),
    ];
}

/** Requests a second of one node, at the mean. */
export const NODE_REQUESTS = computeQuotient(
    takeNumber(DESIGN.requestsPerSecond, "requests/s"),
    takeNumber(DESIGN.nodes, "nodes"),
);
const NODE_TOKENS = computeQuotient(takeNumber(DESIGN.tokensPerSecond, "tokens/s"), takeNumber(DESIGN.nodes, "nodes"));
const ANSWER_TOKENS = DESIGN.tokensPerSecond / DESIGN.requestsPerSecond;

/** Streams that one node has open at the mean, if every answer is streamed. */
export const NODE_STREAMS = computeProduct(
    NODE_REQUESTS,
    sumTerms(
        takeNumber(DESIGN.firstTokenMs / 1_000, "s"),
        computeProduct(takeNumber(ANSWER_TOKENS, "tokens"), takeNumber(DESIGN.tokenGapMs / 1_000, "s")),
    ),
);

function estimateEntry(figures: Figures): readonly RoleRow[] {
    const build = createRows("entry and streaming", false);
    const fixed = { text: "`pathToken` fixed", value: figures["pathToken"]?.fixed ?? Number.NaN };
    const processor = sumTerms(
        computeProduct(fixed, NODE_REQUESTS),
        computeProduct(takeFigure(figures, "pathToken"), NODE_TOKENS),
    );
    return [
        build("streams open", Resource.Count, NODE_STREAMS),
        build("processor time", Resource.CorePercent, computeQuotient(processor, MICROS_PER_PERCENT)),
        build(
            "streams",
            Resource.Mebibytes,
            toMebibytes(
                computeProduct(takeFigure(figures, "streamResident"), takeNumber(NODE_STREAMS.value, "streams")),
            ),
        ),
    ];
}

function estimateAdmission(figures: Figures): readonly RoleRow[] {
    const build = createRows("admission", false);
    const waiting = computeProduct(NODE_REQUESTS, takeNumber(DESIGN.firstTokenMs / 1_000, "s"));
    return [
        build(
            "requests",
            Resource.CorePercent,
            toPercent(computeProduct(readFigureAt(figures, "admissionProcessor", 10), NODE_REQUESTS)),
        ),
        build(
            "waiting requests, all that may still meet their target",
            Resource.Mebibytes,
            toMebibytes(computeProduct(takeFigure(figures, "admissionHeap"), waiting)),
        ),
    ];
}

function estimateRouting(figures: Figures): readonly RoleRow[] {
    const build = createRows("routing state", true);
    const used = computeProduct(takeFigure(figures, "routingSubset"), takeNumber(ASSUMED.services, "services"));
    const ticks = takeNumber(1_000 / ROUTING_TICK_MS, "a second");
    const reportSeconds = takeNumber(computeReportPeriod(used.value, DESIGN.nodes) / 1_000, "s");
    const events = (60 * CACHE_EVENTS_PER_REQUEST * DESIGN.requestsPerSecond) / DESIGN.runners;
    const cacheSeconds = takeNumber(computeCachePeriod(used.value, events, DESIGN.nodes) / 1_000, "s");
    const cacheBytes = computeProduct(used, takeNumber(events, "events"), takeNumber(CACHE_EVENT_BYTES, "bytes"));
    return [
        {
            ...build(
                "decisions",
                Resource.CorePercent,
                toPercent(computeProduct(readFigureAt(figures, "routingDecision", 48), NODE_REQUESTS)),
            ),
            isControl: false,
        },
        build(
            "refreshes",
            Resource.CorePercent,
            toPercent(computeProduct(readFigureAt(figures, "routingTick", DESIGN.runners), ticks)),
        ),
        build(
            "changed VM lists",
            Resource.CorePercent,
            toPercent(computeProduct(readFigureAt(figures, "routingApply", DESIGN.runners), countListChanges())),
        ),
        build(
            "known endpoints",
            Resource.Mebibytes,
            toMebibytes(computeProduct(takeFigure(figures, "routingHeap"), takeNumber(DESIGN.runners, "runners"))),
        ),
        build(
            "cache hints of the endpoints in use",
            Resource.Mebibytes,
            toMebibytes(computeProduct(takeFigure(figures, "routingPrefixHeap"), used)),
        ),
        build(
            "load reports",
            Resource.BytesPerSecond,
            computeQuotient(computeProduct(used, takeNumber(LOAD_REPORT_BYTES, "bytes")), reportSeconds),
        ),
        build(
            "cache events, one a request at least",
            Resource.BytesPerSecond,
            computeQuotient(cacheBytes, cacheSeconds),
        ),
    ];
}

/** VM lists a second that differ from the one before: a VM appears, leaves and is gone. */
function countListChanges(): Term {
    const perDay = sumTerms(takeNumber(DESIGN.failuresPerDay), takeNumber(DESIGN.replacementsPerDay));
    return computeQuotient(
        computeProduct(takeNumber(LIST_CHANGES_PER_VM, "changes"), perDay),
        takeNumber(SECONDS_PER_DAY, "s"),
    );
}

function estimateDirectory(figures: Figures): readonly RoleRow[] {
    const build = createRows("directory of VMs", true);
    const period = takeNumber(computePollDelay(LIST_POLL_INTERVAL_MS, DESIGN.nodes, 0.5) / 1_000, "s");
    const vms = takeNumber(VMS, "VMs");
    const prices = computeQuotient(takeFigure(figures, "priceBytes"), takeNumber(PRICE_REFRESH_PERIOD_MS / 1_000, "s"));
    return [
        build(
            "reading the whole list",
            Resource.CorePercent,
            toPercent(computeQuotient(readFigureAt(figures, "listProcessor", VMS), period)),
        ),
        build("the list", Resource.Mebibytes, toMebibytes(computeProduct(takeFigure(figures, "listHeap"), vms))),
        build(
            "the whole list, read again and again",
            Resource.BytesPerSecond,
            computeQuotient(computeProduct(takeFigure(figures, "listBytes"), vms), period),
        ),
        build("prices", Resource.BytesPerSecond, prices),
    ];
}

function estimateMembership(figures: Figures): readonly RoleRow[] {
    const build = createRows("membership and exchange", true);
    return [
        build("exchanges", Resource.CorePercent, toPercent(readFigureAt(figures, "membershipProcessor", DESIGN.nodes))),
        build(
            "members and entries",
            Resource.Mebibytes,
            toMebibytes(readFigureAt(figures, "membershipHeap", DESIGN.nodes)),
        ),
        build(
            "exchanges, of the node with the most",
            Resource.BytesPerSecond,
            readFigureAt(figures, "membershipMostBytes", DESIGN.nodes),
        ),
        build(
            "load digests of the others, by their budget",
            Resource.BytesPerSecond,
            takeNumber(DIGEST_BYTES_PER_SECOND),
        ),
    ];
}

function estimateConfiguration(figures: Figures): readonly RoleRow[] {
    const build = createRows("configuration", true);
    const rate = computeQuotient(takeNumber(DESIGN.changesPerDay, "changes"), takeNumber(SECONDS_PER_DAY, "s"));
    const accounts = takeNumber(ASSUMED.accounts, "accounts");
    const copies = takeNumber(8, "copies sent and received");
    return [
        build(
            "changes",
            Resource.CorePercent,
            toPercent(computeProduct(readFigureAt(figures, "changeApply", ASSUMED.accounts), rate)),
        ),
        build(
            "accounts",
            Resource.Mebibytes,
            toMebibytes(computeProduct(takeFigure(figures, "accountHeap"), accounts)),
        ),
        build(
            "changes, pushed on four links out and four in",
            Resource.BytesPerSecond,
            computeProduct(takeFigure(figures, "changeBytes"), copies, rate),
        ),
    ];
}

function estimateCommit(figures: Figures): readonly RoleRow[] {
    const build = createRows("group commit and claims", false);
    const claims = computeProduct(NODE_REQUESTS, takeNumber(ASSUMED.claimShare, "of requests"));
    return [
        build("claims", Resource.CorePercent, toPercent(computeProduct(takeFigure(figures, "claimProcessor"), claims))),
    ];
}

function estimateMoves(figures: Figures): readonly RoleRow[] {
    const build = createRows("version moves (each, on every node)", true);
    const ticks = takeNumber(1_000 / VERSION_TICK_MS, "a second");
    const nodes = takeNumber(DESIGN.nodes, "nodes");
    const period = computeQuotient(
        computeProduct(nodes, takeFigure(figures, "moveBytes")),
        takeNumber(EVIDENCE_BYTES_PER_SECOND, "bytes/s"),
    );
    return [
        build(
            "pooled tests",
            Resource.CorePercent,
            toPercent(computeProduct(readFigureAt(figures, "movePooled", DESIGN.nodes), ticks)),
        ),
        build(
            "observations",
            Resource.CorePercent,
            toPercent(computeProduct(takeFigure(figures, "moveObservation"), NODE_REQUESTS)),
        ),
        build(
            "others' evidence",
            Resource.Mebibytes,
            toMebibytes(computeProduct(takeFigure(figures, "moveHeap"), nodes)),
        ),
        build("evidence, by its budget", Resource.BytesPerSecond, takeNumber(EVIDENCE_BYTES_PER_SECOND)),
        build("seconds between two reports of a node's evidence", Resource.Count, period),
    ];
}

function estimateFleet(figures: Figures): readonly RoleRow[] {
    const build = createRows("fleet planner (the one holder)", true);
    const plan = readFigureAt(figures, "fleetPlan", ASSUMED.services);
    const steps = readFigureAt(figures, "fleetSteps", DESIGN.runners);
    return [
        build(
            "plans",
            Resource.CorePercent,
            toPercent(computeQuotient(plan, takeNumber(PLAN_INTERVAL_MS / 1_000, "s"))),
        ),
        build("steps", Resource.CorePercent, toPercent(computeQuotient(steps, takeNumber(FLEET_TICK_MS / 1_000, "s")))),
        build(
            "milliseconds that a plan holds up everything else",
            Resource.Count,
            computeQuotient(plan, takeNumber(1_000)),
        ),
    ];
}

function estimateWatching(figures: Figures): readonly RoleRow[] {
    const build = createRows("dump and metrics", true);
    const perRequest = sumTerms(
        takeFigure(figures, "logLine"),
        computeProduct(takeNumber(2), takeFigure(figures, "counter")),
        computeProduct(takeNumber(3), takeFigure(figures, "timing")),
    );
    return [
        build("log and metrics", Resource.CorePercent, toPercent(computeProduct(perRequest, NODE_REQUESTS))),
        build(
            "milliseconds that a dump holds up everything else",
            Resource.Count,
            computeQuotient(readFigureAt(figures, "dumpProcessor", DESIGN.runners), takeNumber(1_000)),
        ),
        build("bytes of a dump", Resource.Count, readFigureAt(figures, "dumpBytes", DESIGN.runners)),
    ];
}

function createRows(role: string, isControl: boolean) {
    return (what: string, resource: Resource, term: Term): RoleRow => ({ role, what, resource, term, isControl });
}

function toPercent(microsPerSecond: Term): Term {
    return computeQuotient(microsPerSecond, MICROS_PER_PERCENT);
}

function toMebibytes(bytes: Term): Term {
    return computeQuotient(bytes, MEBIBYTE);
}
