/**
 * @module Two version tasks over fakes that share one configuration, one exchange and one set of leases.
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

/** The fakes and the tasks over them. */
export interface VersionWorld {
    readonly clock: ManualClock;
    readonly tasks: Readonly<Record<string, VersionTask>>;
    isStoreUp: boolean;
    readMove(): VersionMove;
    readConfiguration(): Configuration;
    /** Adds the move of `assistant` from v1 to v2. */
    beginMove(windowMs: number): void;
    /** Ends a node: it neither acts nor renews its lease any more. */
    killNode(nodeId: string): void;
    /** Reports one attempt on a node as it would end at an endpoint of a version. */
    reportAttempt(nodeId: string, version: string, isFailure: boolean): void;
    /** Moves time forward second by second, with `eachSecond` run before each. */
    runSeconds(count: number, eachSecond?: () => void): Promise<void>;
    dispose(): void;
}

const NODE_IDS = ["node-1", "node-2"] as const;
const TURNS_A_SECOND = 30;

/**
 * Creates the world, with one endpoint of each version.
 *
 * @returns The world
 * @example
 * const world = createVersionWorld();
 * world.beginMove(120_000);
 * await world.runSeconds(1);
 */
export function createVersionWorld(): VersionWorld {
    const clock = createManualClock();
    const listeners = new Map<string, Set<(update: ExchangeUpdate) => void>>();
    const dead = new Set<string>();
    const leases = new Map<string, { holder: string; epoch: number }>();
    let attempts = 0;
    let configuration: Configuration = {
        ...createEmptyConfiguration(),
        revision: 1,
        services: { assistant: { name: "assistant", kind: ServiceKind.Model, version: "v1" } },
    };

    const createExchange = (nodeId: string): NodeExchange => ({
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
        listLiveNodeIds: () => NODE_IDS.filter(node => !dead.has(node)),
    });
    const createConfigurationFake = (nodeId: string): ConfigurationClient => ({
        readCurrent: () => configuration,
        commitChange: async change => {
            if (!world.isStoreUp || dead.has(nodeId)) {
                return err(createFailure(FailureKind.StoreUnavailable, "The store is away."));
            }
            if (change.basedOnRevision !== configuration.revision) {
                return err(createFailure(FailureKind.RevisionConflict, "Another change came first."));
            }
            const accepted = { revision: configuration.revision + 1, items: change.items };
            configuration = applyChange(configuration, accepted);
            return ok(accepted);
        },
        subscribeApplied: () => () => undefined,
        waitUntilInForce: async revision => ({ revision, isInForce: true, nodeCount: 2, lacking: [] }),
    });
    const createLeases = (nodeId: string): LeaseClient => ({
        acquireLease: async name => {
            const current = leases.get(name);
            if (!world.isStoreUp) {
                return err(createFailure(FailureKind.StoreUnavailable, "The store is away."));
            }
            if (current !== undefined && current.holder !== nodeId && !dead.has(current.holder)) {
                return err(createFailure(FailureKind.LeaseLost, "Another node holds it."));
            }
            const epoch = (current?.epoch ?? 0) + 1;
            leases.set(name, { holder: nodeId, epoch });
            return ok(createHandle(name, nodeId, epoch));
        },
        readLease: async () => ok(undefined),
    });
    const createHandle = (name: string, nodeId: string, epoch: number): LeaseHandle => ({
        name,
        epoch,
        acquiredAtMs: clock.readMonotonicMs(),
        checkHeld: () =>
            leases.get(name)?.epoch === epoch && !dead.has(nodeId)
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
                configuration: createConfigurationFake(nodeId),
                directory: { listVms: () => ["v1", "v2"].map(createVm), subscribeChanges: () => () => undefined },
                exchange: createExchange(nodeId),
                leases: createLeases(nodeId),
                reportFailure: () => undefined,
                reportEvent: () => undefined,
            }),
        ]),
    );
    const world: VersionWorld = {
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
        killNode: nodeId => {
            dead.add(nodeId);
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
                for (let turn = 0; turn < TURNS_A_SECOND; turn++) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            }
        },
        dispose: () => Object.values(tasks).forEach(task => task.dispose()),
    };
    return world;
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
