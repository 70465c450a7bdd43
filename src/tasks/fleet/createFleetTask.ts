/**
 * @module The task that plans the fleet and brings it about. It runs only where a capacity file is set.
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

/** What the fleet task needs. */
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
    /** Declared by operators in a file; `parseFleetCapacity` reads it. */
    readonly capacity: FleetCapacity;
    /** Units a second that arrive for a service at all nodes together; `undefined` while that isn't known. */
    readonly readDemand: (serviceName: string) => number | undefined;
    /** Tells every node, this one included, that a VM leaves and when it will be gone. */
    readonly announceLeaving: (vmId: string, goneAtWallMs: number) => void;
    /** Creates a token that no other transaction has. */
    readonly createToken: () => string;
    readonly reportFailure: (name: string, failure: Failure) => void;
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}

/** The running fleet task. */
export interface FleetTask extends FleetClient, DumpSource, Disposable {}

/**
 * Starts the fleet task.
 *
 * @param options - Cloud, table, leases, orders, capacity and demand
 * @returns The task and its client
 * @example
 * const fleet = owned.add(createFleetTask({ nodeId, clock, table, cloud, capacity, readDemand, ...others }));
 */
export function createFleetTask(options: FleetTaskOptions): FleetTask {
    const { clock, cloud } = options;
    let isDisposed = false;
    const holder = createFleetController({
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
                    yield* waitFor(holder.runTick());
                }
            }
            yield* waitFor(holder.release());
        },
        { clock, reportFailure: options.reportFailure },
    );
    return {
        name: "fleet",
        readPlan: async () => {
            const kept = await readStoredPlan(options);
            return kept.andThen(plan =>
                plan === undefined
                    ? err(createFailure(FailureKind.NotFound, "No plan of the fleet was made yet."))
                    : ok(plan),
            );
        },
        dumpState: () => holder.dumpState(),
        dispose: () => {
            isDisposed = true;
        },
    };
}
