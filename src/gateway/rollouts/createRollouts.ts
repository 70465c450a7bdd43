/**
 * @module The moves of services to other versions that the operator orders: which endpoints may get a request.
 *
 * A version that no order names serves as soon as the orders are known to be newer than the version's first endpoint.
 * The target of an order gets a bounded share of the requests until the move is completed, and nothing once it has been
 * rolled back or while it is unknown whether it has.
 */
import type { Clock } from "../../base/clock";
import type { Log } from "../../base/log/log";
import { AttemptOutcome, isFailedStatus } from "../../decisions/gateway/decideNextAction";
import type { RolloutReport, RolloutReports } from "../../decisions/relays/news";
import { chooseCanaries } from "../../decisions/versions/chooseCanaries";
import { computeCanaryAllowance, type ExposureBounds } from "../../decisions/versions/computeCanaryAllowance";
import { describeAlarm } from "../../decisions/versions/describeAlarm";
import { listMissingEvidence } from "../../decisions/versions/listMissingEvidence";
import type { VersionAlarm } from "../../decisions/versions/versionEvidence";
import { type RolloutOrder, RolloutPhase } from "../../model/gateway";
import { createCrashWatch, type CrashWatchOptions } from "../quarantine/createCrashWatch";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import { createRolloutEvidence, type RolloutEvidence } from "./createRolloutEvidence";
import type { GatewayMetrics } from "../process/createGatewayMetrics";
import { computeColdMs, type EndpointRecord } from "../endpoints/endpointRecord";
import type { OrderChange, RolloutMove, Rollouts } from "./rollouts";
import { type AttemptResult, ConnectionEnd } from "../forwarding/sendAttempt";

/** What the moves depend on. */
export interface RolloutsOptions extends Pick<CrashWatchOptions, "directory" | "isRefusing"> {
    readonly nodeName: string;
    readonly bounds: ExposureBounds;
    /** True if this node hears the others. */
    readonly isInTouch: () => boolean;
    /** Counts the nodes of the fleet, this one included. */
    readonly readNodeCount: () => number;
    readonly clock: Clock;
    readonly reportFailure: FailureReporter;
    readonly metrics: Pick<GatewayMetrics, "countVersionAttempt" | "setRolloutPhase">;
    readonly log: Log;
}

interface Move {
    readonly order: RolloutOrder;
    readonly knownSinceMs: number;
    /** True if the target was the service's only version when it was ordered. */
    readonly isInUse: boolean;
    phase: RolloutPhase;
    /** Monotonic time at which the phase began. */
    advancedAtMs: number;
    /** True once a view of the fleet has named the order: then it is known whether another node has ended it. */
    isKnownToFleet: boolean;
    requests: number;
    canaries: number;
}

interface ServiceVersions {
    readonly evidence: RolloutEvidence;
    /** Monotonic time at which each version was first seen, and those that may serve unless an order names them. */
    readonly seenAtMs: Map<string, number>;
    readonly established: Set<string>;
    /** Targets of moves that were rolled back. */
    readonly rejected: Set<string>;
    move: Move | undefined;
}

/** Time after a rollback within which the platform stops the endpoints of the target. */
const DRAIN_AFTER_ROLLBACK_MS = 10_000;

/** Whether an attempt speaks for or against its version; others have a cause outside of it. */
const HAS_FAILED: Readonly<Partial<Record<AttemptOutcome, (result: AttemptResult) => boolean>>> = {
    [AttemptOutcome.Relayed]: () => false,
    [AttemptOutcome.Answered]: ({ answer }) => isFailedStatus(answer?.status),
    [AttemptOutcome.Lost]: () => true,
    [AttemptOutcome.Broken]: () => true,
    [AttemptOutcome.TimedOut]: () => true,
};

/**
 * Creates the moves of a node that knows no orders yet.
 *
 * @param options - Dependencies
 * @returns The moves
 * @example
 * const records = rollouts.filterEligible("assistant", directory.listUsable("assistant"), true);
 */
export function createRollouts(options: RolloutsOptions): Rollouts {
    const { clock, metrics, log, bounds } = options;
    const services = new Map<string, ServiceVersions>();
    const crashes = createCrashWatch({ ...options, handleCrash: () => undefined });

    const createVersions = (service: string): ServiceVersions => ({
        evidence: createRolloutEvidence(service),
        seenAtMs: new Map(),
        established: new Set(),
        rejected: new Set(),
        move: undefined,
    });
    const readVersions = (service: string): ServiceVersions => {
        const versions = services.get(service) ?? createVersions(service);
        services.set(service, versions);
        return versions;
    };
    const advance = (versions: ServiceVersions, move: Move, phase: RolloutPhase, reason: string) => {
        if (versions.move !== move || phase <= move.phase) {
            return;
        }
        move.phase = phase;
        move.advancedAtMs = clock.readMonotonicMs();
        const { service, target, revision } = move.order;
        if (phase === RolloutPhase.RolledBack) {
            versions.rejected.add(target);
        }
        if (phase === RolloutPhase.Completed) {
            versions.rejected.delete(target);
            versions.established.clear();
            versions.established.add(target);
        }
        metrics.setRolloutPhase(service, phase);
        log.warn("roll-out advanced", {
            service,
            target,
            order: revision,
            phase: RolloutPhase[phase],
            reason,
            requests: move.requests,
            canaries: move.canaries,
            knownForMs: Math.round(clock.readMonotonicMs() - move.knownSinceMs),
        });
    };
    const raiseAlarm = (versions: ServiceVersions, alarm: VersionAlarm | undefined) => {
        const { move } = versions;
        if (alarm !== undefined && move !== undefined && move.phase < RolloutPhase.RolledBack) {
            advance(versions, move, RolloutPhase.RolledBack, describeAlarm(alarm, options.nodeName));
        }
    };
    const beginMove = (versions: ServiceVersions, order: RolloutOrder) => {
        const { move: former, established, rejected } = versions;
        if (former !== undefined && former.phase < RolloutPhase.RolledBack) {
            advance(versions, former, RolloutPhase.RolledBack, "A later order replaced this one.");
        }
        const isOnlyVersion = established.size === 1 && established.has(order.target);
        if (!isOnlyVersion) {
            established.delete(order.target);
        }
        rejected.delete(order.target);
        versions.evidence.reset();
        versions.move = {
            order,
            knownSinceMs: clock.readMonotonicMs(),
            phase: RolloutPhase.Trial,
            advancedAtMs: clock.readMonotonicMs(),
            isInUse: isOnlyVersion,
            isKnownToFleet: false,
            requests: 0,
            canaries: 0,
        };
        metrics.setRolloutPhase(order.service, RolloutPhase.Trial);
        log.info("roll-out ordered", {
            service: order.service,
            target: order.target,
            order: order.revision,
            durationMs: order.durationMs,
            others: [...versions.seenAtMs.keys()].filter(version => version !== order.target).join(","),
        });
    };
    const applyChange = ({ service, order }: OrderChange) => {
        const versions = readVersions(service);
        const { move } = versions;
        if (order !== undefined && (move === undefined || order.revision > move.order.revision)) {
            beginMove(versions, order);
        } else if (order === undefined && move !== undefined) {
            advance(versions, move, RolloutPhase.RolledBack, "The operator removed the order.");
        }
    };
    const hasAllowance = (move: Move): boolean => {
        const knownForMs = clock.readMonotonicMs() - move.knownSinceMs;
        const allowance = computeCanaryAllowance(bounds, {
            requests: move.requests,
            nodes: options.readNodeCount(),
            knownShare: knownForMs / Math.max(1, move.order.durationMs),
        });
        return move.isKnownToFleet && options.isInTouch() && move.canaries + 1 <= allowance;
    };
    const isOrdinary = ({ established, rejected, move }: ServiceVersions, version: string): boolean =>
        established.has(version) &&
        !rejected.has(version) &&
        (move === undefined || move.phase < RolloutPhase.Completed);
    const filterTrial = (
        versions: ServiceVersions,
        move: Move,
        records: readonly EndpointRecord[],
        isFirst: boolean,
    ): readonly EndpointRecord[] => {
        const others = records.filter(({ endpoint }) => isOrdinary(versions, endpoint.version));
        if (move.phase === RolloutPhase.RolledBack) {
            return others;
        }
        const targets = records.filter(({ endpoint }) => endpoint.version === move.order.target);
        if (move.phase !== RolloutPhase.Trial) {
            return targets.length > 0 ? targets : others;
        }
        if (!isFirst || targets.length === 0 || !hasAllowance(move)) {
            return others;
        }
        const nowMs = clock.readMonotonicMs();
        const warm = targets.filter(record => computeColdMs(record, nowMs) === 0 && record.suspectUntilMs <= nowMs);
        const chosen = chooseCanaries(
            warm.map(({ endpoint }) => endpoint.id),
            others.length,
        );
        const canaries = warm.filter(({ endpoint }) => chosen.includes(endpoint.id));
        return canaries.length > 0 ? canaries : others;
    };
    const recordEnd = async (record: EndpointRecord, route: string, result: AttemptResult, slowness?: number) => {
        const { service, version } = record.endpoint;
        const versions = readVersions(service);
        const { move } = versions;
        const hasFailed = HAS_FAILED[result.end]?.(result);
        const isNewVersion = move !== undefined && version === move.order.target;
        if (hasFailed === undefined || (isNewVersion && move.phase >= RolloutPhase.RolledBack)) {
            return;
        }
        // A crash has other causes as a rule; the old version's crashes count, so that both may have some.
        const isBroken = isNewVersion && result.connection === ConnectionEnd.Broken;
        if (isBroken && (await crashes.recordBreak(record, undefined))) {
            return;
        }
        if (versions.move === move) {
            raiseAlarm(versions, versions.evidence.recordAttempt({ route, isNewVersion, hasFailed, slowness }));
        }
    };
    const mergeReport = (service: string, report: RolloutReport) => {
        const versions = services.get(service);
        const move = versions?.move;
        if (versions === undefined || move?.order.revision !== report.order) {
            return;
        }
        move.isKnownToFleet = true;
        advance(versions, move, report.phase, "Another node has decided it.");
        if (move.phase < RolloutPhase.RolledBack) {
            raiseAlarm(versions, versions.evidence.mergeFleet(report.cells));
        }
    };
    const listMoves = () =>
        [...services.values()].flatMap(({ move, evidence }): RolloutMove[] =>
            move === undefined
                ? []
                : [
                      {
                          order: move.order,
                          phase: move.phase,
                          isInUse: move.isInUse,
                          knownForMs: clock.readMonotonicMs() - move.knownSinceMs,
                          phaseForMs: clock.readMonotonicMs() - move.advancedAtMs,
                          missing: listMissingEvidence(evidence.listFleet()),
                      },
                  ],
        );

    return {
        name: "rollouts",
        applyOrders: (changes, isWholeTable) => {
            changes.forEach(applyChange);
            if (isWholeTable) {
                const ordered = new Set(changes.map(({ service }) => service));
                const removed = [...services.keys()].filter(service => !ordered.has(service));
                removed.forEach(service => applyChange({ service, order: undefined }));
            }
        },
        recordConfirmation: at => {
            for (const { seenAtMs, established, move } of services.values()) {
                for (const [version, firstSeenAtMs] of seenAtMs) {
                    if (firstSeenAtMs < at.monotonicMs && version !== move?.order.target) {
                        established.add(version);
                    }
                }
            }
        },
        recordVersions: (endpoints, isFirstList) => {
            for (const { service, version } of endpoints) {
                const { seenAtMs, established, move } = readVersions(service);
                if (!seenAtMs.has(version)) {
                    seenAtMs.set(version, clock.readMonotonicMs());
                    if (isFirstList && version !== move?.order.target) {
                        established.add(version);
                    }
                }
            }
        },
        filterEligible: (service, records, isFirst) => {
            // Keeps nothing for an unknown service: explanations ask as well.
            const versions = services.get(service) ?? createVersions(service);
            const { move } = versions;
            return move === undefined
                ? records.filter(({ endpoint }) => isOrdinary(versions, endpoint.version))
                : filterTrial(versions, move, records, isFirst);
        },
        beginAttempt: (record, route, isFirst) => {
            const { service, version } = record.endpoint;
            const { move } = readVersions(service);
            if (move !== undefined) {
                move.requests += isFirst ? 1 : 0;
                move.canaries += version === move.order.target ? 1 : 0;
            }
            const wasCold = computeColdMs(record, clock.readMonotonicMs()) > 0;
            let slowness: number | undefined;
            return {
                recordFirstPart: value => {
                    slowness = value;
                },
                finish: result => {
                    if (move !== undefined) {
                        metrics.countVersionAttempt(service, version, result.end);
                    }
                    if (!wasCold) {
                        recordEnd(record, route, result, slowness).catch((error: unknown) =>
                            options.reportFailure(FailureOwner.Rollout, error),
                        );
                    }
                },
            };
        },
        isServing: ({ service, version }) => {
            // Keeps nothing for an unknown service: explanations ask as well.
            const { move, rejected } = services.get(service) ?? createVersions(service);
            const isOnTrial = move?.order.target === version && move.phase === RolloutPhase.Trial;
            return !isOnTrial && !rejected.has(version);
        },
        isMoving: service => {
            const move = services.get(service)?.move;
            if (move === undefined || move.phase === RolloutPhase.Completed) {
                return false;
            }
            const isRolledBack = move.phase === RolloutPhase.RolledBack;
            return !isRolledBack || clock.readMonotonicMs() - move.advancedAtMs < DRAIN_AFTER_ROLLBACK_MS;
        },
        listMoves,
        advanceMove: (order, phase, reason) => {
            const versions = readVersions(order.service);
            if (versions.move?.order.revision === order.revision) {
                advance(versions, versions.move, phase, reason);
            }
        },
        applyRecords: records => {
            for (const { service, order, phase } of records) {
                const versions = services.get(service);
                if (versions?.move?.order.revision === order) {
                    advance(versions, versions.move, phase, "The store has it.");
                }
            }
        },
        readReports: (): RolloutReports =>
            Object.fromEntries(
                [...services].flatMap(([service, { move, evidence }]): [string, RolloutReport][] => {
                    if (move === undefined) {
                        return [];
                    }
                    const { phase, order } = move;
                    const cells = phase < RolloutPhase.RolledBack ? evidence.listOwn() : [];
                    return [[service, { order: order.revision, phase, cells }]];
                }),
            ),
        mergeReports: reports => Object.entries(reports).forEach(([service, report]) => mergeReport(service, report)),
        dumpState: () => ({
            moves: listMoves(),
            versions: [...services].map(([service, { established, rejected, seenAtMs }]) => ({
                service,
                seen: [...seenAtMs.keys()],
                established: [...established],
                rejected: [...rejected],
            })),
        }),
    };
}
