/**
 * @module The newest plan of the fleet.
 */
import { err, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { FleetClient, FleetPlanView } from "../tasks/fleet/fleetClient";

/**
 * Reads the newest plan of the fleet, whichever node made it.
 *
 * @param fleet - The fleet's client; absent where the fleet isn't managed
 * @returns The plan; failures: `NotFound` where the fleet isn't managed or was never planned, `StoreUnavailable`
 * @example
 * await readFleetPlan(dependencies.fleet);
 */
export async function readFleetPlan(
    fleet: Pick<FleetClient, "readPlan"> | undefined,
): Promise<Result<FleetPlanView, Failure>> {
    if (fleet === undefined) {
        return err(
            createFailure(FailureKind.NotFound, "This node has no capacity file; it does not manage the fleet."),
        );
    }
    return fleet.readPlan();
}
