/**
 * @module How fast a dead node is known, and how often a node that is not dead is taken for dead, on simulated nodes.
 */
import { createRandom } from "../../src/base/createRandom";
import { MemberCondition } from "../../src/decisions/membership/member";
import { createSimulation, type Simulation } from "../../src/nodes/_testing/createSimulation";

const FORM_MS = 30_000;
const DETECTION_LIMIT_MS = 60_000;
const RUN_MS = 300_000;
const LOSS_SHARE = 0.02;
const PAUSE_CHANCE_PER_SECOND = 1 / 120;
const PAUSE_LONGEST_MS = 3_000;

/** What was measured. */
export interface FailureFigures {
    readonly nodes: number;
    readonly deaths: number;
    /** Until every other node no longer counts on the dead node. */
    readonly detectionMedianMs: number;
    readonly detectionMaximumMs: number;
    /** Until the first node suspects it. */
    readonly firstSuspicionMedianMs: number;
    readonly undetected: number;
    /** Node hours simulated with pauses and losses. */
    readonly nodeHours: number;
    readonly pauses: number;
    readonly falseSuspicions: number;
    readonly falseDeaths: number;
}

/** Measures both at one size. */
export async function measureFailures(nodes: number, deaths: number): Promise<FailureFigures> {
    const detections: number[] = [];
    const suspicions: number[] = [];
    for (let seed = 1; seed <= deaths; seed++) {
        const found = await measureDeath(nodes, seed);
        suspicions.push(found.firstSuspicionMs ?? DETECTION_LIMIT_MS);
        detections.push(...(found.detectedMs === undefined ? [] : [found.detectedMs]));
    }
    const sorted = [...detections].sort((left, right) => left - right);
    const sortedSuspicions = [...suspicions].sort((left, right) => left - right);
    return {
        nodes,
        deaths,
        detectionMedianMs: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
        detectionMaximumMs: sorted.at(-1) ?? Number.NaN,
        firstSuspicionMedianMs: sortedSuspicions[Math.floor(suspicions.length / 2)] ?? Number.NaN,
        undetected: deaths - detections.length,
        ...(await measureFalseDeaths(nodes)),
    };
}

async function measureDeath(nodes: number, seed: number) {
    const simulation = createSimulation({ nodeCount: nodes, regionCount: 5, seed });
    await simulation.runFor(FORM_MS + seed * 137);
    const victim = `node-${createRandom(seed).drawInteger(0, nodes - 1)}`;
    const others = simulation.nodes.filter(node => node.nodeId !== victim);
    let firstSuspicionMs: number | undefined;
    const diedAtMs = simulation.clock.readMonotonicMs();
    others.forEach(node =>
        node.membership.subscribeMembers(member => {
            const isAbout = member.nodeId === victim && member.condition !== MemberCondition.Alive;
            firstSuspicionMs ??= isAbout ? simulation.clock.readMonotonicMs() - diedAtMs : undefined;
        }),
    );
    simulation.network.removeHost(victim);
    const detectedMs = await simulation.runUntil(
        () => others.every(node => !node.membership.listLiveNodeIds().includes(victim)),
        DETECTION_LIMIT_MS,
    );
    simulation.dispose();
    return { detectedMs, firstSuspicionMs };
}

async function measureFalseDeaths(nodes: number) {
    const simulation = createSimulation({ nodeCount: nodes, regionCount: 5, seed: 99 });
    await simulation.runFor(FORM_MS);
    const random = createRandom(7);
    const suspected = new Set<string>();
    const dead = new Set<string>();
    simulation.nodes.forEach(node =>
        node.membership.subscribeMembers(member => {
            const key = `${member.nodeId}|${member.incarnation}`;
            if (member.condition === MemberCondition.Suspect) {
                suspected.add(key);
            } else if (member.condition === MemberCondition.Dead) {
                dead.add(key);
            }
        }),
    );
    simulation.network.setLoss(LOSS_SHARE);
    let pauses = 0;
    const resumeAt = new Map<string, number>();
    for (let passedMs = 0; passedMs < RUN_MS; passedMs += 1_000) {
        pauses += pauseSome(simulation, resumeAt, random);
        await simulation.runFor(1_000);
    }
    simulation.dispose();
    return {
        nodeHours: (nodes * RUN_MS) / 3_600_000,
        pauses,
        falseSuspicions: suspected.size,
        falseDeaths: dead.size,
    };
}

function pauseSome(
    simulation: Simulation,
    resumeAt: Map<string, number>,
    random: ReturnType<typeof createRandom>,
): number {
    const nowMs = simulation.clock.readMonotonicMs();
    for (const [nodeId] of [...resumeAt].filter(([, atMs]) => atMs <= nowMs)) {
        simulation.network.resumeHost(nodeId);
        resumeAt.delete(nodeId);
    }
    const paused = simulation.nodes.filter(
        node => !resumeAt.has(node.nodeId) && random.drawFraction() < PAUSE_CHANCE_PER_SECOND,
    );
    for (const { nodeId } of paused) {
        simulation.network.pauseHost(nodeId);
        resumeAt.set(nodeId, nowMs + random.drawInteger(1, 3) * (PAUSE_LONGEST_MS / 3));
    }
    return paused.length;
}
