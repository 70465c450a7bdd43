/**
 * @module Tokens computed a second time when a failure domain is reclaimed.
 *
 * Streams run at fixed speed. Each runner has one link for exports, first come first served; an export that has not
 * ended when the runner goes is lost, and so is a share of the others. What is not moved in time is prefilled elsewhere.
 */
import { createRandom, type Random } from "../../src/base/createRandom";
import { planReclaimMoves } from "../../src/decisions/outcomes/reclaim/planReclaimMoves";
import { type LeavingStream, ReclaimMove, type ReclaimTerms } from "../../src/decisions/outcomes/reclaim/reclaimMove";
import { DEFAULT_RECLAIM_TERMS } from "../../src/tasks/execution/constants";

const STREAMS_PER_RUNNER = 24;
const MAXIMUM_TOKENS = 1_500;
const AVERAGE_TOKENS = 350;
const TOKEN_GAP_MS = 28;
const DEADLINE_MS = 180_000;
const EXPORT_FAILURE_SHARE = 0.05;
const LINK_BYTES_PER_MS = 1_250_000;

/** A place to measure. */
export interface WaveScene {
    readonly name: string;
    /** Runners of the failure domain that goes. */
    readonly leavingRunners: number;
    readonly survivors: number;
    /** Nodes that use the same runners; each plans for its own streams. */
    readonly sharingNodes: number;
    readonly noticeMs: number;
}

/** Tokens computed again under each policy. */
export interface WaveResult {
    readonly scene: WaveScene;
    readonly streams: number;
    readonly alwaysFinish: number;
    readonly alwaysPrefill: number;
    readonly transferAtOnce: number;
    readonly planned: number;
    /** The plan where engines can't export their cache. */
    readonly plannedWithoutExport: number;
    /** Streams that were shed by the plan. */
    readonly shed: number;
}

interface Stream {
    readonly facts: LeavingStream;
    readonly node: number;
    /** Tokens that the answer really still has. */
    readonly tokensLeft: number;
}

interface Transfer {
    readonly stream: Stream;
    readonly startAtMs: number;
}

/**
 * Measures one wave.
 *
 * @param scene - Sizes and notice
 * @param seed - Seed of prompts and answers
 * @returns Recomputed tokens of each policy
 * @example
 * measureReclaimWave({ name: "Derwent", leavingRunners: 2, survivors: 4, sharingNodes: 8, noticeMs: 30_000 }, 1);
 */
export function measureReclaimWave(scene: WaveScene, seed: number): WaveResult {
    const random = createRandom(seed);
    const streams = Array.from({ length: scene.leavingRunners * STREAMS_PER_RUNNER }, (_unused, index) =>
        drawStream(random, scene, index),
    );
    const atOnce = streams.map(stream => ({ stream, startAtMs: 0 }));
    const { planned, shed } = runPlan(scene, streams, seed, true);
    return {
        scene,
        streams: streams.length,
        alwaysFinish: sumTokens(streams.map(stream => countLost(stream, scene.noticeMs))),
        alwaysPrefill: sumTokens(streams.map(stream => countLost(stream, 0))),
        transferAtOnce: runTransfers(scene, atOnce, createRandom(seed + 1)),
        planned,
        plannedWithoutExport: runPlan(scene, streams, seed, false).planned,
        shed,
    };
}

function drawStream(random: Random, scene: WaveScene, index: number): Stream {
    const promptTokens = Math.round(200 * Math.exp(random.drawFraction() * 3));
    const whole = Math.min(MAXIMUM_TOKENS, Math.ceil(-Math.log(1 - random.drawFraction()) * AVERAGE_TOKENS));
    const deliveredTokens = Math.floor(random.drawFraction() * whole);
    const usualLeft = AVERAGE_TOKENS > deliveredTokens ? AVERAGE_TOKENS - deliveredTokens : AVERAGE_TOKENS / 2;
    const maximumTokensLeft = MAXIMUM_TOKENS - deliveredTokens;
    return {
        node: random.drawInteger(0, scene.sharingNodes - 1),
        tokensLeft: whole - deliveredTokens,
        facts: {
            requestId: `stream-${index}`,
            endpointId: `runner-${index % scene.leavingRunners}`,
            isIdempotent: true,
            promptTokens,
            deliveredTokens,
            expectedTokensLeft: Math.min(maximumTokensLeft, usualLeft),
            maximumTokensLeft,
            tokenGapMs: TOKEN_GAP_MS,
            deadlineAtMs: DEADLINE_MS * (0.3 + 0.7 * random.drawFraction()),
            goneAtMs: scene.noticeMs,
        },
    };
}

/** Tokens that are prefilled again if the stream is broken off at a time; none if it has ended by then. */
function countLost(stream: Stream, atMs: number): number {
    const generated = Math.floor(atMs / TOKEN_GAP_MS);
    if (generated >= stream.tokensLeft) {
        return 0;
    }
    return stream.facts.promptTokens + stream.facts.deliveredTokens + generated;
}

function runPlan(
    scene: WaveScene,
    streams: readonly Stream[],
    seed: number,
    canTransfer: boolean,
): { readonly planned: number; readonly shed: number } {
    const terms: ReclaimTerms = {
        ...DEFAULT_RECLAIM_TERMS,
        canTransfer,
        transferBytesPerMs: LINK_BYTES_PER_MS,
        sharingNodes: scene.sharingNodes,
        survivors: scene.survivors,
    };
    const transfers: Transfer[] = [];
    let planned = 0;
    let shed = 0;
    for (let node = 0; node < scene.sharingNodes; node++) {
        const own = new Map(
            streams.filter(stream => stream.node === node).map(stream => [stream.facts.requestId, stream]),
        );
        const facts = [...own.values()].map(stream => stream.facts);
        for (const move of planReclaimMoves(facts, terms, 0)) {
            const stream = own.get(move.requestId) as Stream;
            if (move.move === ReclaimMove.TransferCache) {
                transfers.push({ stream, startAtMs: move.startAtMs });
            } else if (move.move === ReclaimMove.Prefill) {
                planned += countLost(stream, Math.min(move.startAtMs, scene.noticeMs));
            } else if (move.move === ReclaimMove.Finish) {
                planned += countLost(stream, scene.noticeMs);
            } else {
                shed++;
            }
        }
    }
    return { planned: planned + runTransfers(scene, transfers, createRandom(seed + 1)), shed };
}

/** Runs exports over the links; gives the tokens computed again for those that are lost. */
function runTransfers(scene: WaveScene, transfers: readonly Transfer[], random: Random): number {
    const freeAtMs = new Map<string, number>();
    let lost = 0;
    for (const { stream, startAtMs } of [...transfers].sort((left, right) => left.startAtMs - right.startAtMs)) {
        if (countLost(stream, startAtMs) === 0) {
            continue;
        }
        const { endpointId, promptTokens, deliveredTokens } = stream.facts;
        const beginsMs = Math.max(startAtMs, freeAtMs.get(endpointId) ?? 0);
        const tokens = promptTokens + deliveredTokens + beginsMs / TOKEN_GAP_MS;
        const durationMs = (tokens * DEFAULT_RECLAIM_TERMS.cacheBytesPerToken) / LINK_BYTES_PER_MS;
        const endsMs = beginsMs + durationMs;
        const isBroken = random.drawFraction() < EXPORT_FAILURE_SHARE;
        if (endsMs > scene.noticeMs || isBroken) {
            lost += countLost(stream, Math.min(endsMs, scene.noticeMs));
            continue;
        }
        freeAtMs.set(endpointId, endsMs);
        lost += Math.min(stream.tokensLeft, Math.floor((endsMs - beginsMs) / TOKEN_GAP_MS));
    }
    return lost;
}

function sumTokens(counts: readonly number[]): number {
    return counts.reduce((sum, count) => sum + count, 0);
}
