/**
 * @module The task that plans the fleet and starts and stops VMs to match. It runs only if a capacity file is set.
 */
import { err, ok } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { superviseTask, waitFor } from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import type { NodeExchange } from "../../nodes/nodeExchange";
import type { CloudPort } from "../../ports/cloud";
import type { TablePort } from "../../ports/table";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { DirectoryClient } from "../directory/directoryClient";
import type { LeaseClient } from "../leases/leaseClient";
import type { OrderClient } from "../leases/orderClient";
import { createFleetController, readStoredPlan } from "./_lib/createFleetController";
import { waitForCall } from "./_lib/waitForCall";
import { TICK_INTERVAL_MS } from "./constants";
import type { FleetClient } from "./fleetClient";
import type { FleetCapacity } from "./parseFleetCapacity";

/** Dependencies of the fleet task. */
export interface FleetTaskOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly table: TablePort;
    readonly cloud: CloudPort;
    readonly configuration: Pick<ConfigurationClient, "readCurrent">;
    readonly directory: Pick<DirectoryClient, "listVms">;
    readonly exchange: Pick<NodeExchange, "listLiveNodeIds">;
    readonly leases: LeaseClient;
    readonly orders: OrderClient;
    /** The capacity that operators declare in a file, as `parseFleetCapacity` returns it. */
    readonly capacity: FleetCapacity;
    /** Returns the units a second that arrive for a service at all nodes together; `undefined` while unknown. */
    readonly readDemand: (serviceName: string) => number | undefined;
    /** Notifies every node, this one included, that a VM is leaving and when it will be gone. */
    readonly announceLeaving: (vmId: string, goneAtWallMs: number) => void;
    /** Creates a unique transaction token. */
    readonly createToken: () => string;
    readonly reportFailure: (name: string, failure: Failure) => void;
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}

/** The running fleet task. */
export interface FleetTask extends FleetClient, DumpSource, Disposable {}

/**
 * Starts the fleet task.
 *
 * @param options - The dependencies
 * @returns The running task
 * @example
 * const fleet = owned.add(createFleetTask({ nodeId, clock, table, cloud, capacity, readDemand, ...others }));
 */
export function createFleetTask(options: FleetTaskOptions): FleetTask {
    const { clock, cloud } = options;
    let isDisposed = false;
    const controller = createFleetController({
        ...options,
        listVms: () => options.directory.listVms(),
        readConfiguration: () => options.configuration.readCurrent(),
        listLiveNodeIds: () => options.exchange.listLiveNodeIds(),
        listOffers: () => waitForCall(clock, cloud.listPrices()),
    });
    void superviseTask(
        "fleet",
        function* () {
            while (!isDisposed) {
                yield* waitFor(clock.waitMs(TICK_INTERVAL_MS));
                if (!isDisposed) {
                    yield* waitFor(controller.runTick());
                }
            }
            yield* waitFor(controller.release());
        },
        { clock, reportFailure: options.reportFailure },
    );
    return {
        name: "fleet",
        readPlan: async () => {
            const stored = await readStoredPlan(options);
            return stored.andThen(plan =>
                plan === undefined
                    ? err(createFailure(FailureKind.NotFound, "The fleet has not been planned yet."))
                    : ok(plan),
            );
        },
        dumpState: () => controller.dumpState(),
        dispose: () => {
            isDisposed = true;
        },
    };
}
