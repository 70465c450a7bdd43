/**
 * @module What a number of nodes costs, and how fast a change is in force on all of them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createPlatformStandin, type PlatformStandin } from "../../src/standins/createPlatformStandin";
import type { NodeReport, NodeUsage } from "./nodeMessages";
import { type BenchNodes, startNodes } from "./startNodes";

const FORM_LIMIT_MS = 120_000;
const SETTLE_MS = 6_000;
const WINDOW_MS = 12_000;
const CHANGES = 6;
/** The design size sees a change every 17 s on average. */
const CHANGE_GAP_MS = 4_000;
const CHANGE_LIMIT_MS = 30_000;
const FLOOD_UPDATES_PER_SECOND = 10;

/** What was measured at one size. */
export interface SizeFigures {
    readonly nodes: number;
    /** From the start of the last process until all nodes know all others; undefined if that never happened. */
    readonly formedMs: number | undefined;
    /** From acceptance until the last node has applied the change. */
    readonly inForceMedianMs: number;
    readonly inForceMaximumMs: number;
    /** From acceptance until the accepting node knows that all have. */
    readonly knownMedianMs: number;
    readonly knownMaximumMs: number;
    readonly changesMissing: number;
    /** Sent and received, framing included; of the node with the most. */
    readonly idleBytesPerSecond: number;
    readonly floodBytesPerSecond: number;
    /** Mean over nodes, in per cent of a core. */
    readonly idleCpuPercent: number;
    readonly floodCpuPercent: number;
    /** Of the largest node. */
    readonly residentMebibytes: number;
    /** All nodes together. */
    readonly storeReadsPerSecond: number;
    readonly storeWritesPerSecond: number;
}

/** Starts so many processes, measures, and stops them. */
export async function measureSize(program: string, nodes: number): Promise<SizeFigures> {
    const platform: PlatformStandin = await createPlatformStandin({});
    const running = await startNodes(program, nodes, platform.port);
    try {
        const formedMs = await waitUntilFormed(running);
        await sleep(SETTLE_MS);
        const idle = await measureWindow(running);
        const changes = await measureChanges(running);
        for (let index = 0; index < nodes; index++) {
            running.send(index, { kind: "flood", updatesPerSecond: FLOOD_UPDATES_PER_SECOND });
        }
        await sleep(SETTLE_MS);
        const flood = await measureWindow(running);
        return {
            nodes,
            formedMs,
            ...changes,
            idleBytesPerSecond: idle.bytesPerSecond,
            floodBytesPerSecond: flood.bytesPerSecond,
            idleCpuPercent: idle.cpuPercent,
            floodCpuPercent: flood.cpuPercent,
            residentMebibytes: flood.residentMebibytes,
            storeReadsPerSecond: idle.readsPerSecond,
            storeWritesPerSecond: idle.writesPerSecond,
        };
    } finally {
        await running.stop();
        platform.dispose();
    }
}

async function waitUntilFormed(running: BenchNodes): Promise<number | undefined> {
    const startedMs = performance.now();
    while (performance.now() - startedMs < FORM_LIMIT_MS) {
        const usages = await running.collectUsage();
        if (usages.every(usage => usage.liveNodes === running.size && usage.isReady)) {
            return performance.now() - startedMs;
        }
        await sleep(200);
    }
    return undefined;
}

async function measureWindow(running: BenchNodes) {
    const startedMs = performance.now();
    const before = await running.collectUsage();
    await sleep(WINDOW_MS);
    const after = await running.collectUsage();
    const seconds = (performance.now() - startedMs) / 1_000;
    const differ = (read: (usage: NodeUsage) => number) =>
        after.map((usage, index) => (read(usage) - read(before[index] ?? usage)) / seconds);
    const bytes = differ(usage => usage.traffic.sentBytes + usage.traffic.receivedBytes);
    return {
        bytesPerSecond: Math.max(...bytes),
        cpuPercent: sumList(differ(usage => usage.cpuMs)) / running.size / 10,
        residentMebibytes: Math.max(...after.map(usage => usage.residentBytes)) / 2 ** 20,
        readsPerSecond: sumList(differ(usage => usage.tableReads)),
        writesPerSecond: sumList(differ(usage => usage.tableWrites)),
    };
}

async function measureChanges(running: BenchNodes) {
    const inForce: number[] = [];
    const known: number[] = [];
    let changesMissing = 0;
    for (let change = 0; change < CHANGES; change++) {
        const figures = await measureChange(running, (change * 7) % running.size, `service-${change}`);
        if (figures === undefined) {
            changesMissing++;
        } else {
            inForce.push(figures.inForceMs);
            known.push(figures.knownMs);
        }
        await sleep(CHANGE_GAP_MS);
    }
    return {
        inForceMedianMs: findMedian(inForce),
        inForceMaximumMs: Math.max(...inForce),
        knownMedianMs: findMedian(known),
        knownMaximumMs: Math.max(...known),
        changesMissing,
    };
}

/** Commits one change at one node; undefined if it was refused or did not reach all nodes in time. */
async function measureChange(running: BenchNodes, index: number, label: string) {
    const appliedAt = new Map<number, Map<string, number>>();
    let accepted: Extract<NodeReport, { kind: "accepted" }> | undefined;
    let told: Extract<NodeReport, { kind: "inForce" }> | undefined;
    let isRefused = false;
    const handlers: Partial<Record<NodeReport["kind"], (report: NodeReport) => void>> = {
        applied: report => {
            if (report.kind === "applied") {
                const nodes = appliedAt.get(report.revision) ?? new Map<string, number>();
                appliedAt.set(report.revision, nodes.set(report.nodeId, report.atWallMs));
            }
        },
        accepted: report => {
            accepted = report.kind === "accepted" ? report : accepted;
        },
        inForce: report => {
            told = report.kind === "inForce" ? report : told;
        },
        refused: () => {
            isRefused = true;
        },
    };
    const endSubscription = running.subscribe(report => handlers[report.kind]?.(report));
    running.send(index, { kind: "commit", label });
    const startedMs = performance.now();
    const readApplied = () => [...(appliedAt.get(accepted?.revision ?? -1)?.values() ?? [])];
    const isDone = () => isRefused || (readApplied().length === running.size && told !== undefined);
    while (!isDone() && performance.now() - startedMs < CHANGE_LIMIT_MS) {
        await sleep(10);
    }
    endSubscription();
    return accepted === undefined || told?.isInForce !== true || readApplied().length < running.size
        ? undefined
        : {
              inForceMs: Math.max(0, Math.max(...readApplied()) - accepted.atWallMs),
              knownMs: told.atWallMs - accepted.atWallMs,
          };
}

function findMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

function sumList(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}
