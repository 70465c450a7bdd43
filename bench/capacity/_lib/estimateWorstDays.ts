/**
 * @module The worst days, from the same slopes.
 */
import { MAXIMUM_PENDING_SUBMISSIONS } from "../../../src/tasks/jobs/constants";
import { GONE_SILENCE_MS } from "../../../src/tasks/execution/constants";
import { ASSUMED, DESIGN, SECONDS_PER_DAY } from "./designSize";
import { NODE_STREAMS } from "./estimateRoles";
import type { Figures } from "./figures";
import { computeProduct, computeQuotient, readFigureAt, takeFigure, takeNumber, type Term } from "./term";

/** One quantity of a worst day. */
export interface WorstDayRow {
    readonly day: string;
    readonly what: string;
    readonly unit: string;
    readonly term: Term;
}

const DOMAINS = takeNumber(DESIGN.failureDomains, "failure domains");
const HOUR_SECONDS = 3_600;
const PARTITION_SECONDS = 600;
const LIST_CHANGES_PER_NODE = 3;

/**
 * Estimates the worst days.
 *
 * @param figures - The measured figures
 * @returns Rows in the order of the page
 * @example
 * estimateWorstDays(readFigures());
 */
export function estimateWorstDays(figures: Figures): readonly WorstDayRow[] {
    return [
        ...estimateDomain(figures),
        ...estimatePartition(figures),
        ...estimateStoreAway(),
        ...estimateReplacement(figures),
    ];
}

function estimateDomain(figures: Figures): readonly WorstDayRow[] {
    const build = createRows("a failure domain gone at the peak");
    const left = takeNumber(DESIGN.nodes * (1 - 1 / DESIGN.failureDomains), "nodes left");
    const lostNodes = computeQuotient(takeNumber(DESIGN.nodes, "nodes"), DOMAINS);
    const streams = computeProduct(takeNumber(NODE_STREAMS.value, "streams"), takeNumber(DESIGN.nodes, "nodes"));
    const moved = computeQuotient(computeQuotient(streams, DOMAINS), left);
    const fixed = { text: "`pathToken` fixed", value: figures["pathToken"]?.fixed ?? Number.NaN };
    return [
        build("nodes lost", "", lostNodes),
        build(
            "callers that lose their stream with its node",
            "streams",
            computeProduct(takeNumber(NODE_STREAMS.value, "streams"), takeNumber(lostNodes.value, "nodes")),
        ),
        build("streams to move from lost runners, for each node left", "streams", moved),
        build(
            "processor time of their moves, once, for each node left",
            "ms",
            computeQuotient(computeProduct(takeNumber(moved.value, "streams"), fixed), takeNumber(1_000)),
        ),
        build("least silence until a lost connection counts as gone", "ms", takeNumber(GONE_SILENCE_MS)),
        build(
            "requests of each node left",
            "requests/s",
            computeQuotient(takeNumber(DESIGN.requestsPerSecond, "requests/s"), left),
        ),
        ...listMeasured(figures, ["domainAvoided", "domainDead"], build),
        build(
            "taking in the changed VM list, once",
            "ms",
            computeQuotient(readFigureAt(figures, "routingApply", DESIGN.runners), takeNumber(1_000)),
        ),
    ];
}

function estimatePartition(figures: Figures): readonly WorstDayRow[] {
    const build = createRows("two regions apart for ten minutes");
    const perRegion = computeQuotient(takeNumber(DESIGN.nodes, "nodes"), takeNumber(DESIGN.regions, "regions"));
    const changes = computeQuotient(
        computeProduct(takeNumber(DESIGN.changesPerDay, "changes"), takeNumber(PARTITION_SECONDS, "s")),
        takeNumber(SECONDS_PER_DAY, "s"),
    );
    const rows = [
        build("nodes of each region that the other suspects", "nodes", perRegion),
        build("changes of the configuration meanwhile", "changes", changes),
    ];
    const names = ["partitionSuspect", "partitionDead", "partitionMostBytes", "partitionChange", "partitionHeal"];
    return [...rows, ...listMeasured(figures, names, build)];
}

/** Rows of what was simulated; a figure that is missing shows as not measured. */
function listMeasured(figures: Figures, names: readonly string[], build: RowBuilder): readonly WorstDayRow[] {
    return names.map(name => build(figures[name]?.what ?? name, figures[name]?.unit ?? "", takeFigure(figures, name)));
}

function estimateStoreAway(): readonly WorstDayRow[] {
    const build = createRows("the store away for an hour");
    const claims = computeProduct(
        takeNumber(DESIGN.requestsPerSecond, "requests/s"),
        takeNumber(ASSUMED.claimShare, "that claim"),
        takeNumber(HOUR_SECONDS, "s"),
    );
    const changes = computeQuotient(takeNumber(DESIGN.changesPerDay, "changes"), takeNumber(24, "hours"));
    const waiting = computeProduct(takeNumber(DESIGN.nodes, "nodes"), takeNumber(MAXIMUM_PENDING_SUBMISSIONS, "jobs"));
    return [
        build("requests with a key that are refused as not run", "requests", claims),
        build("changes of the configuration that are refused", "changes", changes),
        build("jobs that may wait for the store before jobs are refused, all nodes", "jobs", waiting),
    ];
}

function estimateReplacement(figures: Figures): readonly WorstDayRow[] {
    const build = createRows("all 400 nodes replaced in a day");
    const every = computeQuotient(takeNumber(SECONDS_PER_DAY, "s"), takeNumber(DESIGN.nodes, "nodes"));
    const lists = computeProduct(
        takeNumber(DESIGN.nodes, "nodes"),
        takeNumber(LIST_CHANGES_PER_NODE, "changes"),
        readFigureAt(figures, "routingApply", DESIGN.runners),
    );
    return [
        build("time between two replacements", "s", every),
        build("taking in changed VM lists, in the whole day", "s", computeQuotient(lists, takeNumber(1_000_000, "µs"))),
        build(
            "reads of the table by the new nodes",
            "reads",
            computeProduct(
                takeNumber(DESIGN.nodes, "nodes"),
                takeNumber(2 + Math.ceil(ASSUMED.accounts / 500), "reads"),
            ),
        ),
    ];
}

type RowBuilder = ReturnType<typeof createRows>;

function createRows(day: string) {
    return (what: string, unit: string, term: Term): WorstDayRow => ({ day, what, unit, term });
}
