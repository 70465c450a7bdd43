/**
 * @module The task that chooses the endpoint of each attempt.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import type { Random } from "../../base/createRandom";
import { type Channel, closeChannel, createChannel, offerMessage } from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import type { CapacitySource } from "../../decisions/routing/serviceCapacity";
import { type Endpoint, type Placement, type VmRecord, VmRole, VmState } from "../../model/endpoint";
import type { NodeExchange } from "../../nodes/nodeExchange";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import type { CloudPort } from "../../ports/cloud";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { DirectoryClient } from "../directory/directoryClient";
import type { AttemptReport, EndpointNotice, Route, RoutingClient } from "./routingClient";

/** What the routing task needs. */
export interface RoutingDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly nodeId: string;
    /** Where this node stands. */
    readonly placement: Placement;
    readonly configuration: ConfigurationClient;
    readonly directory: DirectoryClient;
    readonly exchange: NodeExchange;
    readonly modelRunners: Pick<ModelRunnerPort, "readLoad" | "listCacheEvents" | "probeRunner">;
    readonly applicationRunners: Pick<ApplicationRunnerPort, "readLoad" | "probeRunner">;
    readonly cloud: Pick<CloudPort, "listPrices">;
    /** Whether this node has braked a version of a service; a braked version gets nothing. */
    readonly isBraked: (serviceName: string, version: string) => boolean;
    readonly reportFailure: (name: string, failure: Failure) => void;
}

/** The running routing task. */
export interface RoutingTask extends RoutingClient, CapacitySource, DumpSource, Disposable {
    /** Calls `listener` for each report about an attempt, with the endpoint it went to and its route. */
    subscribeReports(listener: (report: AttemptReport, endpoint: Endpoint, route: string) => void): () => void;
}

/**
 * Creates the routing task.
 *
 * @param dependencies - What the task needs
 * @returns Its client, which also shows its state and ends it
 * @example
 * const routing = createRoutingTask({ clock, random, nodeId, placement, ...others });
 */
export function createRoutingTask(dependencies: RoutingDependencies): RoutingTask {
    const inFlight = new Map<string, number>();
    const attempts = new Map<string, { readonly endpoint: Endpoint; readonly route: string }>();
    const reportListeners = new Set<(report: AttemptReport, endpoint: Endpoint, route: string) => void>();
    const watchers = new Map<string, Set<Channel<EndpointNotice>>>();
    const listEndpoints = (serviceName: string) =>
        dependencies.directory
            .listVms()
            .filter(vm => vm.role !== VmRole.Node && vm.state === VmState.Live && vm.serviceName === serviceName);
    const unsubscribe = dependencies.directory.subscribeChanges(vms => {
        const known = new Map(vms.map(vm => [vm.vmId, vm]));
        for (const [endpointId, channels] of watchers) {
            const vm = known.get(endpointId);
            if (vm?.state !== VmState.Live) {
                channels.forEach(channel => offerMessage(channel, createNotice(endpointId, vm, dependencies.clock)));
            }
        }
    });
    return {
        name: "routing",
        chooseEndpoint: async (query): Promise<Result<Route, Failure>> => {
            const candidates = listEndpoints(query.serviceName).filter(
                vm =>
                    !query.excludedEndpointIds.includes(vm.vmId) &&
                    !dependencies.isBraked(query.serviceName, vm.version ?? ""),
            );
            const [best] = candidates.sort(
                (left, right) => (inFlight.get(left.vmId) ?? 0) - (inFlight.get(right.vmId) ?? 0),
            );
            if (best === undefined) {
                return err(createFailure(FailureKind.NoEndpoint, "No endpoint can take the request."));
            }
            const endpoint = {
                ...best,
                endpointId: best.vmId,
                serviceName: query.serviceName,
                version: best.version ?? "",
            } as Endpoint;
            inFlight.set(best.vmId, (inFlight.get(best.vmId) ?? 0) + 1);
            attempts.set(`${query.id.requestId}/${query.id.attempt}`, { endpoint, route: query.route });
            return ok({ endpoint, estimatedFirstTokenMs: 100 });
        },
        recordReport: report => {
            const key = `${report.id.requestId}/${report.id.attempt}`;
            const attempt = attempts.get(key);
            if (attempt === undefined) {
                return;
            }
            reportListeners.forEach(listener => listener(report, attempt.endpoint, attempt.route));
            if (["finished", "failed", "cancelled"].includes(report.kind)) {
                attempts.delete(key);
                inFlight.set(report.endpointId, (inFlight.get(report.endpointId) ?? 1) - 1);
            }
        },
        watchEndpoint: endpointId => {
            const notices = createChannel<EndpointNotice>(4);
            const channels = watchers.get(endpointId) ?? new Set();
            watchers.set(endpointId, channels.add(notices));
            return {
                notices,
                release: () => {
                    channels.delete(notices);
                    closeChannel(notices);
                },
            };
        },
        subscribeReports: listener => {
            reportListeners.add(listener);
            return () => reportListeners.delete(listener);
        },
        readCapacity: serviceName => {
            const liveEndpoints = listEndpoints(serviceName).length;
            return {
                liveEndpoints,
                freeSlots: liveEndpoints * 16,
                totalSlots: liveEndpoints * 16,
                bestFirstTokenMs: 50,
                prefillTokensPerSecond: 5_000,
                estimateErrorMs: 0,
                cheapestCostMicros: 0,
            };
        },
        dumpState: () => ({ inFlight: Object.fromEntries(inFlight) }),
        dispose: unsubscribe,
    };
}

function createNotice(endpointId: string, vm: VmRecord | undefined, clock: Clock): EndpointNotice {
    if (vm?.reclaimAtWallMs === undefined) {
        return { endpointId };
    }
    return { endpointId, goneAtMs: clock.readMonotonicMs() + vm.reclaimAtWallMs - clock.readWallMs() };
}
