/**
 * @module What all nodes together ask of the store and of the platform.
 */
import { LEASE_CANDIDATES as FLEET_CANDIDATES, FLEET_LEASE_MS } from "../../../src/tasks/fleet/constants";
import { POLL_PERIOD_MS } from "../../../src/tasks/configuration/_lib/constants";
import { POLLS_PER_SECOND_OF_ALL_NODES } from "../../../src/tasks/directory/constants";
import {
    JOB_LEASE_MS,
    JOB_POLL_INTERVAL_MS,
    LISTING_PAGE_ROWS,
    FULL_RATE_POLLING_NODES,
} from "../../../src/tasks/jobs/constants";
import { RENEWALS_PER_DURATION } from "../../../src/tasks/leases/_lib/constants";
import { PRICE_PERIOD_MS } from "../../../src/tasks/routing/constants";
import { ASSUMED, DESIGN, SECONDS_PER_DAY } from "./designSize";
import type { Figures } from "./figures";
import { computeProduct, computeQuotient, sumTerms, takeFigure, takeNumber, type Term } from "./term";

/** Requests a second of one kind. */
export interface StoreRow {
    readonly what: string;
    readonly carriedBy: string;
    readonly reads: Term | undefined;
    readonly writes: Term | undefined;
}

const NODES = takeNumber(DESIGN.nodes, "nodes");
const WRITES_PER_CLAIM = takeNumber(2, "writes each");

/**
 * Estimates what the table is asked.
 *
 * @param figures - The measured figures
 * @returns Reads and writes a second of all nodes
 * @example
 * estimateTable(readFigures());
 */
export function estimateTable(figures: Figures): readonly StoreRow[] {
    const claims = computeProduct(
        takeNumber(DESIGN.requestsPerSecond, "requests/s"),
        takeNumber(ASSUMED.claimShare, "that claim"),
    );
    const pages = takeNumber(Math.ceil(ASSUMED.openJobs / LISTING_PAGE_ROWS), "pages");
    const jobPolls = computeQuotient(
        computeProduct(takeNumber(FULL_RATE_POLLING_NODES, "polls"), pages),
        takeNumber(JOB_POLL_INTERVAL_MS / 1_000, "s"),
    );
    const changes = computeQuotient(takeNumber(DESIGN.changesPerDay, "changes"), takeNumber(SECONDS_PER_DAY, "s"));
    const renewals = (durationMs: number) =>
        computeQuotient(takeNumber(RENEWALS_PER_DURATION, "renewals"), takeNumber(durationMs / 1_000, "s"));
    const leases = takeNumber(2, "leases");
    const waiting = computeProduct(leases, takeNumber(FLEET_CANDIDATES - 1, "that waits"));
    return [
        {
            what: "head of the configuration",
            carriedBy: "src/tasks/configuration",
            reads: computeQuotient(NODES, takeNumber(POLL_PERIOD_MS / 1_000, "s")),
            writes: undefined,
        },
        {
            what: "changes of the configuration",
            carriedBy: "src/tasks/configuration",
            reads: undefined,
            writes: changes,
        },
        {
            what: "claims of idempotency keys, hardly grouped at so few a node",
            carriedBy: "src/tasks/claims",
            reads: computeProduct(takeFigure(figures, "claimReads"), claims),
            writes: computeProduct(WRITES_PER_CLAIM, claims),
        },
        { what: "open jobs", carriedBy: "src/tasks/jobs", reads: jobPolls, writes: undefined },
        {
            what: "leases of jobs, if every node holds some",
            carriedBy: "src/tasks/jobs, src/tasks/leases",
            reads: undefined,
            writes: computeProduct(NODES, renewals(JOB_LEASE_MS)),
        },
        {
            what: "lease of one version move, and the lease of the fleet",
            carriedBy: "src/tasks/leases",
            reads: computeProduct(waiting, takeFigure(figures, "leaseWaiterReads")),
            writes: sumTerms(takeFigure(figures, "leaseWrites"), renewals(FLEET_LEASE_MS)),
        },
    ];
}

/**
 * Estimates what the platform's list and cloud API are asked.
 *
 * @returns Reads a second of all nodes
 * @example
 * estimatePlatform().length;
 */
export function estimatePlatform(): readonly StoreRow[] {
    const polls = takeNumber(POLLS_PER_SECOND_OF_ALL_NODES, "reads/s at most");
    const prices = computeQuotient(NODES, takeNumber(PRICE_PERIOD_MS / 1_000, "s"));
    return [
        { what: "VM list", carriedBy: "src/tasks/directory", reads: polls, writes: undefined },
        { what: "reclaim notices", carriedBy: "src/tasks/directory", reads: polls, writes: undefined },
        { what: "prices", carriedBy: "src/tasks/routing", reads: prices, writes: undefined },
    ];
}
