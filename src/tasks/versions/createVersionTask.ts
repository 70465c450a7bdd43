/**
 * @module The task that watches new versions, brakes bad ones and moves shares.
 */
import type { Clock } from "../../base/clock";
import { closeChannel, createChannel, offerMessage, superviseTask, takeBatch, waitFor } from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import type { Failure } from "../../base/failure";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import { computeEffectiveShare } from "../../decisions/versions/computeEffectiveShare";
import { createMoveEvidence } from "../../decisions/versions/createMoveEvidence";
import { describeAlarm } from "../../decisions/versions/describeAlarm";
import { listOwnCounts } from "../../decisions/versions/listOwnCounts";
import { mergeReports } from "../../decisions/versions/mergeReports";
import { recordObservation } from "../../decisions/versions/recordObservation";
import { updatePooledScores } from "../../decisions/versions/updatePooledScores";
import type { CellCounts, MoveEvidence, VersionAlarm } from "../../decisions/versions/versionEvidence";
import { MoveState, type VersionMove } from "../../model/configuration";
import { VmState } from "../../model/endpoint";
import { ExchangeTopic, type NodeExchange } from "../../nodes/nodeExchange";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { DirectoryClient } from "../directory/directoryClient";
import type { LeaseClient } from "../leases/leaseClient";
import type { ReportFacts } from "../routing/createRoutingTask";
import type { AttemptReport } from "../routing/routingClient";
import { createAttemptTracker } from "./_lib/createAttemptTracker";
import { createBrakes } from "./_lib/createBrakes";
import { createMoveHolder } from "./_lib/createMoveHolder";
import { decodeCounts, encodeCounts } from "./_lib/countsCodec";
import { EVIDENCE_BYTES_PER_SECOND, EVIDENCE_PERIOD_MS, INBOX_CAPACITY, LOAD_MULTIPLE, TICK_MS } from "./constants";
import type { VersionClient } from "./versionClient";

/** What the version task needs. */
export interface VersionTaskOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly configuration: ConfigurationClient;
    readonly directory: DirectoryClient;
    readonly exchange: NodeExchange;
    readonly leases: LeaseClient;
    readonly metrics?: Metrics;
    readonly reportFailure: (name: string, failure: Failure) => void;
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}

/** The running version task. */
export interface VersionTask extends VersionClient, DumpSource, Disposable {}

enum Kind {
    Report = "report",
    Evidence = "evidence",
    Brake = "brake",
    Tick = "tick",
}

type Message =
    | { readonly kind: Kind.Report; readonly report: AttemptReport; readonly facts: ReportFacts }
    | { readonly kind: Kind.Evidence; readonly nodeId: string; readonly moveName: string; readonly payload: Uint8Array }
    | { readonly kind: Kind.Brake; readonly moveName: string; readonly reason: string }
    | { readonly kind: Kind.Tick };

interface WatchedMove {
    readonly evidence: MoveEvidence;
    publishDueAtMs: number;
    publishedFailures: number;
}

/**
 * Starts the version task.
 *
 * @param options - Configuration, exchange, leases and directory
 * @returns The task and its client
 * @example
 * const versions = createVersionTask({ nodeId, clock, configuration, directory, exchange, leases, ...others });
 * routing.subscribeReports(versions.observeReport);
 */
export function createVersionTask(options: VersionTaskOptions): VersionTask {
    const { nodeId, clock, configuration, exchange } = options;
    const inbox = createChannel<Message>(INBOX_CAPACITY);
    const watched = new Map<string, WatchedMove>();
    const brakes = createBrakes();
    const counters = { observations: 0, lostMessages: 0, brakesSet: 0, brakesHeard: 0 };
    let isDisposed = false;
    const offer = (message: Message) => {
        counters.lostMessages += offerMessage(inbox, message) || isDisposed ? 0 : 1;
    };
    const tracker = createAttemptTracker({ isLeaving: endpointId => isLeaving(options.directory, endpointId) });
    const holder = createMoveHolder({
        ...options,
        listLiveNodeIds: () => exchange.listLiveNodeIds(),
        computeSupportableShare: move => computeSupportableShare(options.directory, move),
    });

    const listMoving = () =>
        Object.values(configuration.readCurrent().versionMoves).filter(move => move.state === MoveState.Moving);
    const watchMove = (move: VersionMove): WatchedMove => {
        const known = watched.get(move.name);
        if (known !== undefined) {
            return known;
        }
        const created = { evidence: createMoveEvidence(move), publishDueAtMs: 0, publishedFailures: 0 };
        watched.set(move.name, created);
        return created;
    };
    const findVersionTags = (moveName: string) => {
        const move = configuration.readCurrent().versionMoves[moveName];
        return { service: move?.serviceName, version: move?.toVersion };
    };
    const brake = (moveName: string, alarm: VersionAlarm) => {
        const reason = describeAlarm(alarm, nodeId);
        if (brakes.setBrake(moveName, reason)) {
            counters.brakesSet++;
            options.metrics?.count(Metric.VersionsBraked, findVersionTags(moveName));
            options.reportEvent("version braked", { move: moveName, reason });
            exchange.publishUpdate(ExchangeTopic.Brake, moveName, Buffer.from(reason));
        }
    };
    const publishEvidence = (moveName: string, move: WatchedMove, nowMs: number) => {
        const counts = listOwnCounts(move.evidence);
        const failures = countFailures(counts);
        if (counts.length === 0 || (nowMs < move.publishDueAtMs && failures === move.publishedFailures)) {
            return;
        }
        const payload = encodeCounts(counts);
        const nodeCount = exchange.listLiveNodeIds().length;
        const periodMs = Math.max(EVIDENCE_PERIOD_MS, (nodeCount * payload.length * 1_000) / EVIDENCE_BYTES_PER_SECOND);
        move.publishDueAtMs = nowMs + periodMs;
        move.publishedFailures = failures;
        exchange.publishUpdate(ExchangeTopic.VersionEvidence, moveName, payload);
    };

    const handlers: { readonly [K in Kind]: (message: Extract<Message, { kind: K }>) => void } = {
        [Kind.Report]: ({ report, facts }) => {
            const observation = tracker.trackReport(report, facts, clock.readMonotonicMs());
            const move = listMoving().find(candidate => candidate.serviceName === facts.endpoint.serviceName);
            if (observation === undefined || move === undefined) {
                return;
            }
            counters.observations++;
            const alarm = recordObservation(watchMove(move).evidence, observation);
            if (alarm !== undefined) {
                brake(move.name, alarm);
            }
        },
        [Kind.Evidence]: ({ nodeId: fromNodeId, moveName, payload }) => {
            const counts = decodeCounts(payload);
            const move = listMoving().find(candidate => candidate.name === moveName);
            if (counts !== undefined && move !== undefined) {
                const { peerCounts: others } = watchMove(move).evidence;
                others.set(fromNodeId, mergeReports(others.get(fromNodeId) ?? [], counts));
            }
        },
        [Kind.Brake]: ({ moveName, reason }) => {
            counters.brakesHeard += brakes.setBrake(moveName, reason) ? 1 : 0;
        },
        [Kind.Tick]: () => {
            const nowMs = clock.readMonotonicMs();
            const moving = listMoving();
            for (const move of moving) {
                const state = watchMove(move);
                const alarm = updatePooledScores(state.evidence);
                if (alarm !== undefined) {
                    brake(move.name, alarm);
                }
                publishEvidence(move.name, state, nowMs);
            }
            const active = new Set(moving.map(move => move.name));
            [...watched.keys()].filter(name => !active.has(name)).forEach(name => watched.delete(name));
        },
    };

    const supervision = { clock, reportFailure: options.reportFailure };
    void superviseTask(
        "versions",
        function* () {
            for (let batch = yield* takeBatch(inbox); batch !== undefined; batch = yield* takeBatch(inbox)) {
                batch.forEach(message => handlers[message.kind](message as never));
            }
        },
        supervision,
    );
    // Steps wait for the store, so they run beside the evidence and never hold it up.
    void superviseTask(
        "version-moves",
        function* () {
            while (!isDisposed) {
                yield* waitFor(clock.waitMs(TICK_MS));
                offer({ kind: Kind.Tick });
                const moving = listMoving();
                for (const move of moving) {
                    const { evidence } = watchMove(move);
                    yield* waitFor(holder.considerMove(move, evidence, brakes.findReason(move.name)));
                }
                yield* waitFor(holder.releaseEnded(new Set(moving.map(move => move.name))));
            }
        },
        supervision,
    );
    const subscriptions = [
        exchange.subscribeTopic(ExchangeTopic.Brake, update =>
            offer({ kind: Kind.Brake, moveName: update.key, reason: Buffer.from(update.payload).toString("utf8") }),
        ),
        exchange.subscribeTopic(ExchangeTopic.VersionEvidence, update =>
            offer({
                kind: Kind.Evidence,
                nodeId: update.fromNodeId,
                moveName: update.key,
                payload: update.payload,
            }),
        ),
    ];
    return {
        name: "versions",
        isBraked: (serviceName, version) =>
            listMoving().some(move => {
                const isTarget = move.serviceName === serviceName && move.toVersion === version;
                const hasFault = brakes.findReason(move.name) !== undefined;
                return isTarget && computeEffectiveShare({ ...move, share: 1 }, clock.readWallMs(), hasFault) === 0;
            }),
        observeReport: (report, facts) => offer({ kind: Kind.Report, report, facts }),
        dumpState: () => ({
            ...counters,
            brakes: brakes.list(),
            held: holder.listHeld(),
            moves: [...watched].map(([name, move]) => ({ name, cells: listOwnCounts(move.evidence) })),
        }),
        dispose: () => {
            isDisposed = true;
            subscriptions.forEach(release => release());
            closeChannel(inbox);
        },
    };
}

function isLeaving(directory: DirectoryClient, endpointId: string): boolean {
    return directory.listVms().find(vm => vm.vmId === endpointId)?.state !== VmState.Live;
}

function computeSupportableShare(directory: DirectoryClient, move: VersionMove): number {
    const live = directory.listVms().filter(vm => vm.serviceName === move.serviceName && vm.state === VmState.Live);
    const next = live.filter(vm => vm.version === move.toVersion).length;
    const all = live.filter(vm => vm.version === move.toVersion || vm.version === move.fromVersion).length;
    return next === 0 ? 0 : Math.min(1, (LOAD_MULTIPLE * next) / all);
}

function countFailures(cells: readonly CellCounts[]): number {
    return cells.reduce((sum, cell) => sum + cell.next.failures.bad, 0);
}
