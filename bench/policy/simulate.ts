/**
 * @module The event-driven simulation of a cluster under a policy.
 */
import { Heap } from "heap-js";
import { createRandom } from "../../src/base/createRandom";
import { computeCachePeriod } from "../../src/decisions/routing/computeCachePeriod";
import {
    OTHER_REGION_LATENCY_MS,
    CROSS_REGION_TRANSFER_MICROS,
    SAME_DOMAIN_LATENCY_MS,
    TICK_MS,
} from "../../src/decisions/routing/constants";
import { computeReportPeriod } from "../../src/decisions/routing/computeReportPeriod";
import { VmState } from "../../src/model/endpoint";
import { addSequence } from "../../src/standins/modelEngine/addSequence";
import { advanceEngine } from "../../src/standins/modelEngine/advanceEngine";
import { EngineOutputKind } from "../../src/standins/modelEngine/engineState";
import { measureEngineLoad } from "../../src/standins/modelEngine/measureEngineLoad";
import type { Policy, PolicyNode } from "./policy";
import { createRunners, recordCacheEvent, type SimulatedRunner } from "./runners";
import {
    type ClusterSize,
    LOAD_SAMPLE_MS,
    NOTICE_LAG_MS,
    NOTICE_MS,
    ON_DEMAND_MICROS_PER_HOUR,
    RECLAIMABLE_MICROS_PER_HOUR,
    type Scenario,
} from "./settings";
import { createWorkload, type SimulatedRequest } from "./workload";

/** What became of a request. */
export interface RequestRecord {
    readonly request: SimulatedRequest;
    readonly arrivedAtMs: number;
    readonly node: number;
    isRefused: boolean;
    attempt: number;
    /** Tokens of the answer received so far. */
    received: number;
    /** Tokens that earlier attempts had given when the last attempt began. */
    resumedFrom: number;
    runner: SimulatedRunner | undefined;
    sentAtMs: number;
    firstTokenMs: number | undefined;
    isFinished: boolean;
}

/** What a run gave. */
export interface SimulationResult {
    /** Requests that arrived in the measured time. */
    readonly records: readonly RequestRecord[];
    /** Tokens prefilled again because a runner was lost. */
    readonly recomputedTokens: number;
    /** Millionths of the currency for VMs and volume in the measured time. */
    readonly costMicros: number;
}

interface Event {
    readonly atMs: number;
    readonly run: () => void;
}

/** What a run depends on. */
export interface SimulationOptions {
    readonly size: ClusterSize;
    readonly scenario: Scenario;
    readonly policy: Policy;
    readonly seed: number;
    /** Requests a second that one runner can serve. */
    readonly runnerCapacity: number;
}

/**
 * Simulates a cluster. Arrivals are Poisson and fall on a random node; the same seed gives the same arrivals under
 * every policy.
 *
 * @param options - Cluster, scenario, policy and seed
 * @returns What became of the requests
 * @example
 * simulateCluster({ size, scenario, policy, seed: 1, runnerCapacity: 12 }).records.length;
 */
export function simulateCluster(options: SimulationOptions): SimulationResult {
    const { size, scenario, policy, seed } = options;
    const events = new Heap<Event>((left, right) => left.atMs - right.atMs);
    const random = createRandom(seed);
    const lags = createRandom(seed + 1);
    const runners = createRunners(size);
    const runnersById = new Map(runners.map(runner => [runner.vm.vmId, runner]));
    const drawRequest = createWorkload(seed, size.runners / 6);
    const records = new Map<string, RequestRecord>();
    const measured: RequestRecord[] = [];
    const endMs = size.warmUpMs + size.measuredMs;
    let nowMs = 0;
    let recomputedTokens = 0;
    let volumeTokens = 0;

    const schedule = (atMs: number, run: () => void) => events.push({ atMs, run });
    const readDomain = (node: number) => size.failureDomains[node % size.failureDomains.length] ?? "";
    const readDelay = (node: number, runner: SimulatedRunner) =>
        readDomain(node) === runner.vm.failureDomain ? SAME_DOMAIN_LATENCY_MS : OTHER_REGION_LATENCY_MS;

    const send = (record: RequestRecord) => {
        const node = nodes[record.node] as PolicyNode;
        const vmId = node.choose(record.request, record.attempt, nowMs);
        const runner = vmId === undefined ? undefined : runnersById.get(vmId);
        if (runner === undefined) {
            record.isRefused = record.attempt === 1;
            node.finish(record.request, nowMs);
            return;
        }
        record.runner = runner;
        record.sentAtMs = nowMs;
        const { attempt } = record;
        schedule(nowMs + readDelay(record.node, runner), () => deliver(record, runner, attempt));
    };
    const deliver = (record: RequestRecord, runner: SimulatedRunner, attempt: number) => {
        const { request } = record;
        const sequence = {
            key: `${request.requestId}/${attempt}`,
            priority: 0,
            promptTokens: request.promptTokens,
            prefixHashes: request.prefixHashes,
            resumeOffset: record.received,
            importedTokens: 0,
            answerTokens: request.answerTokens,
        };
        if (runner.isGone) {
            retry(record, attempt);
            return;
        }
        if (nowMs > size.warmUpMs && readDomain(record.node) !== runner.vm.failureDomain) {
            volumeTokens += request.promptTokens + request.answerTokens;
        }
        if (!addSequence(runner.engine, sequence)) {
            record.isRefused = true;
            (nodes[record.node] as PolicyNode).recordEnded(request, attempt, 0, true, nowMs);
            (nodes[record.node] as PolicyNode).finish(request, nowMs);
            return;
        }
        advanceRunner(runner);
    };
    const retry = (record: RequestRecord, attempt: number) => {
        const node = nodes[record.node] as PolicyNode;
        node.recordEnded(record.request, attempt, nowMs - record.sentAtMs, true, nowMs);
        record.attempt = attempt + 1;
        send(record);
    };
    const advanceRunner = (runner: SimulatedRunner) => {
        if (runner.isGone) {
            return;
        }
        for (const output of advanceEngine(runner.engine, nowMs)) {
            if (output.kind !== EngineOutputKind.Token && output.kind !== EngineOutputKind.Finished) {
                recordCacheEvent(runner, output.prefixHash, output.kind === EngineOutputKind.PrefixEvicted);
                continue;
            }
            const slash = output.key.lastIndexOf("/");
            const record = records.get(output.key.slice(0, slash));
            if (record === undefined) {
                continue;
            }
            if (output.kind === EngineOutputKind.Token) {
                record.received = output.index + 1;
            }
            if (output.kind === EngineOutputKind.Finished || output.index === 0) {
                const isEnd = output.kind === EngineOutputKind.Finished;
                const attempt = Number(output.key.slice(slash + 1));
                if (output.kind === EngineOutputKind.Finished && attempt > 1) {
                    recomputedTokens += record.request.promptTokens + record.resumedFrom - output.cachedTokens;
                }
                schedule(output.atMs + readDelay(record.node, runner), () => answer(record, attempt, isEnd));
            }
        }
        const nextMs = runner.engine.step?.endsAtMs ?? Infinity;
        if (nextMs < Infinity && nextMs !== runner.wakeAtMs) {
            runner.wakeAtMs = nextMs;
            schedule(nextMs, () => nextMs === runner.wakeAtMs && advanceRunner(runner));
        }
    };
    const answer = (record: RequestRecord, attempt: number, isEnd: boolean) => {
        const node = nodes[record.node] as PolicyNode;
        const elapsedMs = nowMs - record.sentAtMs;
        if (!isEnd) {
            record.firstTokenMs ??= nowMs - record.arrivedAtMs;
            node.recordFirstToken(record.request, attempt, elapsedMs, nowMs);
            return;
        }
        record.isFinished = true;
        records.delete(record.request.requestId);
        node.recordEnded(record.request, attempt, elapsedMs, false, nowMs);
        node.finish(record.request, nowMs);
    };
    const arrive = () => {
        const request = drawRequest();
        const node = random.drawInteger(0, size.nodes - 1);
        const start = { isRefused: false, attempt: 1, received: 0, resumedFrom: 0, runner: undefined, sentAtMs: nowMs };
        const record = { request, arrivedAtMs: nowMs, node, ...start, firstTokenMs: undefined, isFinished: false };
        records.set(request.requestId, record);
        if (nowMs >= size.warmUpMs && nowMs < endMs) {
            measured.push(record);
        }
        (nodes[node] as PolicyNode).arrive(request, nowMs);
        const perMs = (scenario.load * options.runnerCapacity * size.runners) / 1_000;
        schedule(nowMs - Math.log(1 - random.drawFraction()) / perMs, arrive);
    };
    const nodes: readonly PolicyNode[] = Array.from({ length: size.nodes }, (_, index) =>
        policy.createNode({
            size,
            nodeId: `node-${index}`,
            failureDomain: readDomain(index),
            seed: seed * 1_000 + index,
            start: request => {
                const record = records.get(request.requestId);
                if (record !== undefined) {
                    send(record);
                }
            },
            refuse: request => {
                const record = records.get(request.requestId);
                if (record !== undefined) {
                    record.isRefused = true;
                    records.delete(request.requestId);
                }
            },
            publishDigest: payload => {
                nodes.forEach((node, other) => {
                    if (other !== index) {
                        schedule(nowMs + OTHER_REGION_LATENCY_MS, () =>
                            node.applyDigest(`node-${index}`, payload, nowMs),
                        );
                    }
                });
            },
        }),
    );
    const startNode = (node: PolicyNode, index: number) => {
        node.applyVms(
            runners.map(runner => runner.vm),
            0,
        );
        const tick = () => {
            node.tick(nowMs);
            schedule(nowMs + TICK_MS, tick);
        };
        const poll = (runner: SimulatedRunner) => {
            const polled = node.listPolled();
            if (!runner.isGone && polled.includes(runner.vm.vmId)) {
                const delayMs = readDelay(index, runner);
                const load = { ...runner.sample, ageMs: nowMs - runner.sampledAtMs };
                schedule(nowMs + delayMs, () => node.applyLoad(runner.vm.vmId, load, nowMs));
            }
            const periodMs = computeReportPeriod(Math.max(1, polled.length), size.nodes);
            schedule(nowMs + periodMs * (0.75 + 0.5 * lags.drawFraction()), () => poll(runner));
        };
        let sequences = new Map<string, number>();
        const readCache = (runner: SimulatedRunner) => {
            const polled = node.listPolled();
            const after = sequences.get(runner.vm.vmId) ?? -1;
            const news = runner.cacheEvents.filter(event => event.sequence > after);
            if (!runner.isGone && polled.includes(runner.vm.vmId)) {
                sequences = sequences.set(runner.vm.vmId, runner.cacheSequence - 1);
                node.applyCacheEvents(runner.vm.vmId, news);
            }
            const periodMs = computeCachePeriod(Math.max(1, polled.length), news.length, size.nodes);
            schedule(nowMs + periodMs * (0.75 + 0.5 * lags.drawFraction()), () => readCache(runner));
        };
        schedule(lags.drawFraction() * TICK_MS, tick);
        runners.forEach(runner => schedule(lags.drawFraction() * 500, () => poll(runner)));
        runners.forEach(runner => schedule(1_000 + lags.drawFraction() * 1_000, () => readCache(runner)));
    };
    const startWave = (domain: string) => {
        const lost = runners.filter(runner => runner.vm.failureDomain === domain);
        const goneAtMs = nowMs + NOTICE_MS;
        nodes.forEach(node => {
            const learnedAtMs = nowMs + lags.drawFraction() * NOTICE_LAG_MS;
            schedule(learnedAtMs, () =>
                node.applyVms(
                    runners.map(({ vm }) => (vm.failureDomain === domain ? { ...vm, state: VmState.Leaving } : vm)),
                    nowMs,
                ),
            );
        });
        schedule(goneAtMs, () => {
            lost.forEach(runner => (runner.isGone = true));
            for (const record of records.values()) {
                if (record.runner?.isGone === true && !record.isRefused) {
                    record.resumedFrom = record.received;
                    retry(record, record.attempt);
                }
            }
        });
    };
    const sampleLoads = () => {
        for (const runner of runners) {
            runner.sample = { endpointId: runner.vm.vmId, ...measureEngineLoad(runner.engine) };
            runner.sampledAtMs = nowMs;
        }
        schedule(nowMs + LOAD_SAMPLE_MS, sampleLoads);
    };

    nodes.forEach(startNode);
    schedule(0, sampleLoads);
    schedule(1_000, arrive);
    if (scenario.hasWave) {
        schedule(size.warmUpMs + size.measuredMs / 2, () => startWave(size.failureDomains[0] ?? ""));
    }
    // Some seconds more, so that late first tokens are seen as late and not as missing
    for (let next = events.pop(); next !== undefined && next.atMs < endMs + 8_000; next = events.pop()) {
        nowMs = next.atMs;
        next.run();
    }
    return { records: measured, recomputedTokens, costMicros: computeCost(runners, size, volumeTokens) };
}

function computeCost(runners: readonly SimulatedRunner[], size: ClusterSize, volumeTokens: number): number {
    const perHour = runners.reduce(
        (sum, { vm }) => sum + (vm.isReclaimable ? RECLAIMABLE_MICROS_PER_HOUR : ON_DEMAND_MICROS_PER_HOUR),
        0,
    );
    return (perHour * size.measuredMs) / 3_600_000 + (volumeTokens * CROSS_REGION_TRANSFER_MICROS) / 1_000;
}
