/**
 * @module Test harness: version tasks of two nodes on fakes with a shared configuration, exchange and set of leases.
 */
import { err, ok } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { createManualClock, type ManualClock } from "../../../base/createManualClock";
import { Execution, FailureKind } from "../../../base/failure";
import { applyChange } from "../../../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../../../decisions/configuration/createEmptyConfiguration";
import { type Configuration, MoveState, ServiceKind, type VersionMove } from "../../../model/configuration";
import { type Endpoint, type VmRecord, VmRole, VmState } from "../../../model/endpoint";
import type { ExchangeTopic, ExchangeUpdate, NodeExchange } from "../../../nodes/nodeExchange";
import type { ConfigurationClient } from "../../configuration/configurationClient";
import type { LeaseClient, LeaseHandle } from "../../leases/leaseClient";
import { AttemptReportKind } from "../../routing/routingClient";
import { createVersionTask, type VersionTask } from "../createVersionTask";

/** The fakes and the version tasks that run on them. */
export interface VersionTestHarness {
    readonly clock: ManualClock;
    readonly tasks: Readonly<Record<string, VersionTask>>;
    isStoreUp: boolean;
    readMove(): VersionMove;
    readConfiguration(): Configuration;
    /** Adds the move of `assistant` from v1 to v2. */
    beginMove(windowMs: number): void;
    /** Simulates the crash of a node: its task stops and its leases can be taken over. */
    crashNode(nodeId: string): void;
    /** Reports to a node's task that an attempt at an endpoint of the given version has finished or failed. */
    reportAttempt(nodeId: string, version: string, isFailure: boolean): void;
    /** Advances the clock second by second and calls `eachSecond` before each second. */
    runSeconds(count: number, eachSecond?: () => void): Promise<void>;
    dispose(): void;
}

const NODE_IDS = ["node-1", "node-2"] as const;
const EVENT_LOOP_TURNS_PER_SECOND = 30;

/**
 * Creates the harness, with one endpoint of each version.
 *
 * @returns The harness
 * @example
 * const harness = createVersionTestHarness();
 * harness.beginMove(120_000);
 * await harness.runSeconds(1);
 */
export function createVersionTestHarness(): VersionTestHarness {
    const clock = createManualClock();
    const listeners = new Map<string, Set<(update: ExchangeUpdate) => void>>();
    const crashedNodeIds = new Set<string>();
    const leases = new Map<string, { holder: string; epoch: number }>();
    let attempts = 0;
    let configuration: Configuration = {
        ...createEmptyConfiguration(),
        revision: 1,
        services: { assistant: { name: "assistant", kind: ServiceKind.Model, version: "v1" } },
    };

    const createFakeExchange = (nodeId: string): NodeExchange => ({
        publishUpdate: (topic, key, payload) => {
            const others = NODE_IDS.filter(other => other !== nodeId);
            others.forEach(other =>
                listeners
                    .get(`${other} ${topic}`)
                    ?.forEach(listener => listener({ topic, key, payload, fromNodeId: nodeId })),
            );
        },
        subscribeTopic: (topic: ExchangeTopic, listener) => {
            const key = `${nodeId} ${topic}`;
            listeners.set(key, new Set([...(listeners.get(key) ?? []), listener]));
            return () => void listeners.get(key)?.delete(listener);
        },
        listLiveNodeIds: () => NODE_IDS.filter(node => !crashedNodeIds.has(node)),
    });
    const createFakeConfiguration = (nodeId: string): ConfigurationClient => ({
        readCurrent: () => configuration,
        commitChange: async change => {
            if (!harness.isStoreUp || crashedNodeIds.has(nodeId)) {
                return err(createFailure(FailureKind.StoreUnavailable, "The store is unavailable."));
            }
            if (change.basedOnRevision !== configuration.revision) {
                return err(createFailure(FailureKind.RevisionConflict, "Another change was committed first."));
            }
            const accepted = { revision: configuration.revision + 1, items: change.items };
            configuration = applyChange(configuration, accepted);
            return ok(accepted);
        },
        subscribeApplied: () => () => undefined,
        waitUntilInForce: async revision => ({ revision, isInForce: true, nodeCount: 2, lacking: [] }),
    });
    const createFakeLeases = (nodeId: string): LeaseClient => ({
        acquireLease: async name => {
            const current = leases.get(name);
            if (!harness.isStoreUp) {
                return err(createFailure(FailureKind.StoreUnavailable, "The store is unavailable."));
            }
            if (current !== undefined && current.holder !== nodeId && !crashedNodeIds.has(current.holder)) {
                return err(createFailure(FailureKind.LeaseLost, "Another node holds the lease."));
            }
            const epoch = (current?.epoch ?? 0) + 1;
            leases.set(name, { holder: nodeId, epoch });
            return ok(createFakeLeaseHandle(name, nodeId, epoch));
        },
        readLease: async () => ok(undefined),
    });
    const createFakeLeaseHandle = (name: string, nodeId: string, epoch: number): LeaseHandle => ({
        name,
        epoch,
        acquiredAtMs: clock.readMonotonicMs(),
        checkHeld: () =>
            leases.get(name)?.epoch === epoch && !crashedNodeIds.has(nodeId)
                ? ok(epoch)
                : err(createFailure(FailureKind.LeaseLost, "The lease was lost.")),
        buildFenceCondition: () => ({ key: name, version: epoch }),
        whenEnded: new Promise(() => undefined),
        release: async () => void leases.delete(name),
    });
    const tasks = Object.fromEntries(
        NODE_IDS.map(nodeId => [
            nodeId,
            createVersionTask({
                nodeId,
                clock,
                configuration: createFakeConfiguration(nodeId),
                directory: { listVms: () => ["v1", "v2"].map(createVm), subscribeChanges: () => () => undefined },
                exchange: createFakeExchange(nodeId),
                leases: createFakeLeases(nodeId),
                reportFailure: () => undefined,
                reportEvent: () => undefined,
            }),
        ]),
    );
    const harness: VersionTestHarness = {
        clock,
        tasks,
        isStoreUp: true,
        readConfiguration: () => configuration,
        readMove: () => configuration.versionMoves["move-1"]!,
        beginMove: windowMs => {
            const move: VersionMove = {
                name: "move-1",
                serviceName: "assistant",
                fromVersion: "v1",
                toVersion: "v2",
                doneByWallMs: clock.readWallMs() + windowMs,
                state: MoveState.Moving,
                share: 0,
                reason: "",
            };
            const versionMoves = { "move-1": move };
            configuration = { ...configuration, revision: configuration.revision + 1, versionMoves };
        },
        crashNode: nodeId => {
            crashedNodeIds.add(nodeId);
            tasks[nodeId]?.dispose();
        },
        reportAttempt: (nodeId, version, isFailure) => {
            const id = { requestId: `request-${attempts++}`, attempt: 1 };
            const facts = { endpoint: createEndpoint(version), route: "chat", endpointRequests: 2 };
            const failure = createFailure(FailureKind.EndpointFailed, "Status 500.", {
                execution: Execution.Unknown,
                details: { status: 500 },
            });
            tasks[nodeId]?.observeReport(
                {
                    kind: isFailure ? AttemptReportKind.Failed : AttemptReportKind.Finished,
                    id,
                    endpointId: `vm-${version}`,
                    elapsedMs: 200,
                    tokens: 10,
                    failure: isFailure ? failure : undefined,
                },
                facts,
            );
        },
        runSeconds: async (count, eachSecond) => {
            for (let second = 0; second < count; second++) {
                eachSecond?.();
                clock.advanceMs(1_000);
                for (let turn = 0; turn < EVENT_LOOP_TURNS_PER_SECOND; turn++) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            }
        },
        dispose: () => Object.values(tasks).forEach(task => task.dispose()),
    };
    return harness;
}

function createVm(version: string): VmRecord {
    return { ...createEndpoint(version), vmId: `vm-${version}`, state: VmState.Live, incarnation: 1 };
}

function createEndpoint(version: string): Endpoint {
    return {
        endpointId: `vm-${version}`,
        role: VmRole.ModelRunner,
        address: "127.0.0.1",
        port: 1,
        serviceName: "assistant",
        version,
        machineClass: "accelerator-2",
        isReclaimable: false,
        region: "hobart",
        failureDomain: "hobart",
    };
}
