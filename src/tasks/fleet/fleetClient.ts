/**
 * @module The interface of the fleet task to other modules.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { FleetPlan } from "../../decisions/fleet/fleetPlan";

/** An offer of which no VM is started for a time, for example after the cloud refused a start. */
export interface RefusedOffer {
    readonly offerId: string;
    /** When starts of this offer may be tried again. */
    readonly untilWallMs: number;
}

/** The newest plan, as the lease holder stored it. */
export interface FleetPlanView extends FleetPlan {
    readonly plannedAtWallMs: number;
    /** The node that made the plan. */
    readonly nodeId: string;
    /** Offers that the plan left out. */
    readonly refused: readonly RefusedOffer[];
    /** Highest recent demand by service in units a second, without headroom. */
    readonly recentPeaks: Readonly<Record<string, number>>;
}

/** Handle of the fleet task. */
export interface FleetClient {
    /**
     * Reads the newest plan, whichever node made it. Failures: `NotFound` before the first plan, `StoreUnavailable`,
     * `StoreOutcomeUnknown` on a timeout, `Internal` if the stored plan can't be decoded.
     */
    readPlan(): Promise<Result<FleetPlanView, Failure>>;
}
