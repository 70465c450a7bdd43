/**
 * @module The task that moves traffic to new versions step by step and stops traffic to faulty ones.
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
import type { AttemptFacts } from "../routing/createRoutingTask";
import type { AttemptReport } from "../routing/routingClient";
import { createAttemptTracker } from "./_lib/createAttemptTracker";
import { createBrakes } from "./_lib/createBrakes";
import { createMoveController } from "./_lib/createMoveController";
import { decodeEvidenceCounts, encodeEvidenceCounts } from "./_lib/evidenceCountsCodec";
import {
    EVIDENCE_BYTES_PER_SECOND,
    MINIMUM_EVIDENCE_PERIOD_MS,
    INBOX_CAPACITY,
    NEW_VERSION_LOAD_FACTOR,
    TICK_MS,
} from "./constants";
import type { VersionClient } from "./versionClient";

/** Dependencies of the version task. */
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
    | { readonly kind: Kind.Report; readonly report: AttemptReport; readonly facts: AttemptFacts }
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
    const controller = createMoveController({
        ...options,
        listLiveNodeIds: () => exchange.listLiveNodeIds(),
        computeSupportableShare: move => computeSupportableShare(options.directory, move),
    });

    const listActiveMoves = () =>
        Object.values(configuration.readCurrent().versionMoves).filter(move => move.state === MoveState.Moving);
    const ensureWatchedMove = (move: VersionMove): WatchedMove => {
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
    const applyBrake = (moveName: string, alarm: VersionAlarm) => {
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
        const payload = encodeEvidenceCounts(counts);
        const nodeCount = exchange.listLiveNodeIds().length;
        const periodMs = Math.max(
            MINIMUM_EVIDENCE_PERIOD_MS,
            (nodeCount * payload.length * 1_000) / EVIDENCE_BYTES_PER_SECOND,
        );
        move.publishDueAtMs = nowMs + periodMs;
        move.publishedFailures = failures;
        exchange.publishUpdate(ExchangeTopic.VersionEvidence, moveName, payload);
    };

    const handlers: { readonly [K in Kind]: (message: Extract<Message, { kind: K }>) => void } = {
        [Kind.Report]: ({ report, facts }) => {
            const observation = tracker.trackReport(report, facts, clock.readMonotonicMs());
            const move = listActiveMoves().find(candidate => candidate.serviceName === facts.endpoint.serviceName);
            if (observation === undefined || move === undefined) {
                return;
            }
            counters.observations++;
            const alarm = recordObservation(ensureWatchedMove(move).evidence, observation);
            if (alarm !== undefined) {
                applyBrake(move.name, alarm);
            }
        },
        [Kind.Evidence]: ({ nodeId: fromNodeId, moveName, payload }) => {
            const counts = decodeEvidenceCounts(payload);
            const move = listActiveMoves().find(candidate => candidate.name === moveName);
            if (counts !== undefined && move !== undefined) {
                const { peerCounts: others } = ensureWatchedMove(move).evidence;
                others.set(fromNodeId, mergeReports(others.get(fromNodeId) ?? [], counts));
            }
        },
        [Kind.Brake]: ({ moveName, reason }) => {
            counters.brakesHeard += brakes.setBrake(moveName, reason) ? 1 : 0;
        },
        [Kind.Tick]: () => {
            const nowMs = clock.readMonotonicMs();
            const activeMoves = listActiveMoves();
            for (const move of activeMoves) {
                const state = ensureWatchedMove(move);
                const alarm = updatePooledScores(state.evidence);
                if (alarm !== undefined) {
                    applyBrake(move.name, alarm);
                }
                publishEvidence(move.name, state, nowMs);
            }
            const activeNames = new Set(activeMoves.map(move => move.name));
            [...watched.keys()].filter(name => !activeNames.has(name)).forEach(name => watched.delete(name));
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
    // Steps wait for the store. They run in a task of their own, so that they do not delay the handling of evidence.
    void superviseTask(
        "version-moves",
        function* () {
            while (!isDisposed) {
                yield* waitFor(clock.waitMs(TICK_MS));
                offer({ kind: Kind.Tick });
                const activeMoves = listActiveMoves();
                for (const move of activeMoves) {
                    const { evidence } = ensureWatchedMove(move);
                    yield* waitFor(controller.advanceMove(move, evidence, brakes.findReason(move.name)));
                }
                yield* waitFor(controller.releaseEndedMoves(new Set(activeMoves.map(move => move.name))));
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
            listActiveMoves().some(move => {
                const isTarget = move.serviceName === serviceName && move.toVersion === version;
                const hasFault = brakes.findReason(move.name) !== undefined;
                return isTarget && computeEffectiveShare({ ...move, share: 1 }, clock.readWallMs(), hasFault) === 0;
            }),
        observeReport: (report, facts) => offer({ kind: Kind.Report, report, facts }),
        dumpState: () => ({
            ...counters,
            brakes: brakes.list(),
            held: controller.listHeldMoves(),
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
    return next === 0 ? 0 : Math.min(1, (NEW_VERSION_LOAD_FACTOR * next) / all);
}

function countFailures(cells: readonly CellCounts[]): number {
    return cells.reduce((sum, cell) => sum + cell.next.failures.bad, 0);
}
