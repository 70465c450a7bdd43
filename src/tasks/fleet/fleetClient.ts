/**
 * @module How other parts of the program read the fleet's plan.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { FleetPlan } from "../../decisions/fleet/fleetPlan";

/** An offer that is left alone for a time. */
export interface RefusedOffer {
    readonly offerId: string;
    readonly untilWallMs: number;
}

/** The newest plan, as its holder kept it. */
export interface FleetPlanView extends FleetPlan {
    readonly plannedAtWallMs: number;
    /** The node that planned. */
    readonly nodeId: string;
    readonly refused: readonly RefusedOffer[];
    /** Highest demand of the last while by service, without headroom. */
    readonly recentPeaks: Readonly<Record<string, number>>;
}

/** Handle of the fleet task. */
export interface FleetClient {
    /**
     * Reads the newest plan, whichever node made it. Failures: `NotFound` before the first plan, `StoreUnavailable`,
     * `Internal` if the row can't be read.
     */
    readPlan(): Promise<Result<FleetPlanView, Failure>>;
}
