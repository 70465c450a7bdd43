/**
 * @module Extra load that retries cause while runners fail or answer late.
 */
import { createManualClock } from "../../src/base/createManualClock";
import { createRandom } from "../../src/base/createRandom";
import { receiveMessage } from "../../src/base/csp";
import { GenerationEventKind } from "../../src/model/request";
import {
    buildChatRequest,
    buildContext,
    collectAnswer,
    createExecutionHarness,
} from "../../src/tasks/execution/_testing/createExecutionHarness";
import { createFakeFleet } from "../../src/tasks/execution/_testing/createFakeFleet";
import { StreamFault } from "../../src/tasks/execution/_testing/faults";
import { runVirtualTime } from "../../src/tasks/execution/_testing/runVirtualTime";

const REQUESTS = 2_000;
const SPREAD_MS = 20_000;
const ANSWER_TOKENS = 10;
const NAIVE_ATTEMPTS = 4;
const SLOW_SHARE = 0.2;

/** What one policy did. */
export interface BrownOutResult {
    readonly policy: string;
    /** Share of attempts that fail. */
    readonly failingShare: number;
    /** Attempts beyond one a request, as a share of requests. */
    readonly extraLoad: number;
    /** Share of requests that got their whole answer. */
    readonly answered: number;
}

/**
 * Measures the retry budget and hedges of the execution task against a client that tries each request up to four
 * times, over the same runners.
 *
 * @param failingShare - Share of attempts that fail after the request was sent
 * @param seed - Seed of faults and arrivals
 * @returns The results of both policies
 * @example
 * await measureBrownOut(0.5, 1);
 */
export async function measureBrownOut(failingShare: number, seed: number): Promise<readonly BrownOutResult[]> {
    return [await runNaive(failingShare, seed), await runBudget(failingShare, seed)];
}

function createFaultDraw(failingShare: number, seed: number): () => StreamFault {
    const random = createRandom(seed);
    return () => {
        if (random.drawFraction() < failingShare) {
            return StreamFault.BrokenBefore;
        }
        return random.drawFraction() < SLOW_SHARE ? StreamFault.Slow : StreamFault.None;
    };
}

async function runBudget(failingShare: number, seed: number): Promise<BrownOutResult> {
    const world = createExecutionHarness({ endpoints: 6, drawStreamFault: createFaultDraw(failingShare, seed) });
    const random = createRandom(seed + 1);
    const ended = Array.from({ length: REQUESTS }, async (_unused, index) => {
        await world.clock.waitMs(random.drawInteger(0, SPREAD_MS));
        const context = buildContext(world, `request-${index}`, { className: "digest" });
        return collectAnswer(world.execution.startChat(context, buildChatRequest(ANSWER_TOKENS)));
    });
    const answers = await runVirtualTime(world.clock, Promise.all(ended));
    const answered = answers.filter(answer => answer.failure === undefined).length;
    const sent = [...world.fleet.record.sent.values()].reduce((sum, attempts) => sum + attempts, 0);
    return summarize("retry budget and hedges", failingShare, sent, answered);
}

async function runNaive(failingShare: number, seed: number): Promise<BrownOutResult> {
    const clock = createManualClock();
    const drawStreamFault = createFaultDraw(failingShare, seed);
    const fleet = createFakeFleet({ clock, endpoints: 6, drawStreamFault });
    const random = createRandom(seed + 1);
    let attempts = 0;
    const runOnce = async (requestId: string, attempt: number) => {
        attempts++;
        const endpoint = fleet.endpoints[attempts % fleet.endpoints.length]!.endpoint;
        const id = { requestId, attempt };
        const chat = buildChatRequest(ANSWER_TOKENS);
        const generation = fleet.models.openGeneration(endpoint, { id, chat, priority: 0, resumedTexts: [] });
        for (;;) {
            const event = await receiveMessage(generation.events);
            if (event?.kind !== GenerationEventKind.Tokens) {
                return event?.kind === GenerationEventKind.Finished;
            }
        }
    };
    const ended = Array.from({ length: REQUESTS }, async (_unused, index) => {
        await clock.waitMs(random.drawInteger(0, SPREAD_MS));
        for (let attempt = 1; attempt <= NAIVE_ATTEMPTS; attempt++) {
            if (await runOnce(`request-${index}`, attempt)) {
                return true;
            }
        }
        return false;
    });
    const answered = (await runVirtualTime(clock, Promise.all(ended))).filter(Boolean).length;
    return summarize("up to four attempts", failingShare, attempts, answered);
}

function summarize(policy: string, failingShare: number, attempts: number, answered: number): BrownOutResult {
    return {
        policy,
        failingShare,
        extraLoad: (attempts - REQUESTS) / REQUESTS,
        answered: answered / REQUESTS,
    };
}
