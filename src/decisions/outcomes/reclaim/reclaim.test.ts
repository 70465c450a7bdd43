import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RECLAIM_MARGIN_MS } from "./constants";
import { decideReclaimMove } from "./decideReclaimMove";
import { planReclaimMoves } from "./planReclaimMoves";
import { type LeavingStream, ReclaimMove, type ReclaimTerms } from "./reclaimMove";

const STREAM: LeavingStream = {
    requestId: "request",
    endpointId: "runner",
    isIdempotent: true,
    promptTokens: 1_000,
    deliveredTokens: 100,
    expectedTokensLeft: 1_000,
    maximumTokensLeft: 2_000,
    tokenGapMs: 28,
    deadlineAtMs: 120_000,
    goneAtMs: 20_000,
};
const TERMS: ReclaimTerms = {
    canTransfer: true,
    cacheBytesPerToken: 131_072,
    transferBytesPerMs: 250_000,
    sharingNodes: 1,
    microsPerMegabyte: 10,
    prefillTokensPerMs: 4,
    microsPerThousandTokens: 2_000,
    survivors: 4,
};

describe("decideReclaimMove", () => {
    const cases: readonly [string, Partial<LeavingStream>, Partial<ReclaimTerms>, ReclaimMove][] = [
        ["a stream that is certain to end in time", { maximumTokensLeft: 100 }, {}, ReclaimMove.Finish],
        ["a non-idempotent stream", { isIdempotent: false }, {}, ReclaimMove.Finish],
        ["a cheap transfer", {}, {}, ReclaimMove.TransferCache],
        ["an expensive transfer", {}, { microsPerMegabyte: 100 }, ReclaimMove.Prefill],
        ["engines without KV cache export", {}, { canTransfer: false }, ReclaimMove.Prefill],
        ["a notice too short for a transfer", { goneAtMs: RECLAIM_MARGIN_MS + 100 }, {}, ReclaimMove.Prefill],
        ["a deadline that no move can meet", { deadlineAtMs: 20_000 }, {}, ReclaimMove.Shed],
    ];
    for (const [name, stream, terms, expected] of cases) {
        it(`chooses ${expected} for ${name}`, () => {
            assert.equal(decideReclaimMove({ ...STREAM, ...stream }, { ...TERMS, ...terms }, 0).move, expected);
        });
    }
});

describe("planReclaimMoves", () => {
    const streams = fc.array(
        fc.record({
            endpoint: fc.integer({ min: 0, max: 3 }),
            promptTokens: fc.integer({ min: 1, max: 8_000 }),
            deliveredTokens: fc.integer({ min: 0, max: 2_000 }),
            left: fc.integer({ min: 1, max: 3_000 }),
            deadlineAtMs: fc.integer({ min: 1_000, max: 200_000 }),
            isIdempotent: fc.boolean(),
        }),
        { maxLength: 40 },
    );
    const buildStreams = (
        list: readonly (typeof streams extends fc.Arbitrary<(infer T)[]> ? T : never)[],
    ): LeavingStream[] =>
        list.map(({ endpoint, left, ...facts }, index) => ({
            ...STREAM,
            ...facts,
            requestId: `request-${index}`,
            endpointId: `runner-${endpoint}`,
            expectedTokensLeft: left,
            maximumTokensLeft: left * 2,
        }));

    it("plans one move per stream, and transfers from one endpoint one after the other within the notice", () => {
        fc.assert(
            fc.property(streams, list => {
                const leavingStreams = buildStreams(list);
                const moves = planReclaimMoves(leavingStreams, TERMS, 0);
                assert.equal(new Set(moves.map(move => move.requestId)).size, leavingStreams.length);
                const byId = new Map(leavingStreams.map(stream => [stream.requestId, stream]));
                const lastEndMs = new Map<string, number>();
                for (const move of moves) {
                    const stream = byId.get(move.requestId) as LeavingStream;
                    assert.ok(stream.isIdempotent || move.move === ReclaimMove.Finish);
                    if (move.move === ReclaimMove.TransferCache) {
                        const before = lastEndMs.get(stream.endpointId) ?? 0;
                        assert.ok(move.startAtMs >= before - 1e-6);
                        assert.ok(move.startAtMs + move.moveMs <= stream.goneAtMs - RECLAIM_MARGIN_MS + 1e-6);
                        lastEndMs.set(stream.endpointId, move.startAtMs + move.moveMs);
                    }
                    if (move.move === ReclaimMove.Prefill) {
                        const stalledMs = Math.max(0, move.startAtMs - stream.goneAtMs);
                        const endMs = stalledMs + move.moveMs + stream.expectedTokensLeft * stream.tokenGapMs;
                        assert.ok(endMs <= stream.deadlineAtMs + 1e-6);
                    }
                }
            }),
        );
    });

    it("immediately starts transfers that exceed this node's share of a link", () => {
        const leavingStreams = Array.from({ length: 6 }, (_unused, index) => ({
            ...STREAM,
            requestId: `request-${index}`,
        }));
        const moves = planReclaimMoves(leavingStreams, { ...TERMS, sharingNodes: 8 }, 0);
        assert.ok(moves.every(move => move.move === ReclaimMove.TransferCache));
        const earlyMoves = moves.filter(move => move.startAtMs < STREAM.goneAtMs / 10);
        assert.ok(earlyMoves.length > 0 && earlyMoves.length < moves.length);
    });

    it("moves the stream with the least slack first and spaces the prefills", () => {
        const leavingStreams = [90_000, 60_000, 75_000].map((deadlineAtMs, index) => ({
            ...STREAM,
            requestId: `request-${index}`,
            deadlineAtMs,
        }));
        const moves = planReclaimMoves(leavingStreams, { ...TERMS, canTransfer: false }, 0);
        assert.deepEqual(
            moves.map(move => move.requestId),
            ["request-1", "request-2", "request-0"],
        );
        assert.ok(moves.every((move, index) => index === 0 || move.startAtMs > (moves[index - 1]?.startAtMs ?? 0)));
        assert.ok((moves[0]?.startAtMs ?? 0) > STREAM.goneAtMs / 2, "streams continue in place until their turn");
    });
});
