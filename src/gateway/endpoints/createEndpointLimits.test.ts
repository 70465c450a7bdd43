import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { PLATFORM_CODEC } from "../../../platform/forwardingCodec";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import type { ResponseHead } from "../../ports/forwardingCodec";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { LIMIT_WINDOW_MS, simulateLimit } from "../_testing/simulateLimit";
import { createEndpointLimits } from "./createEndpointLimits";
import { createEndpointRecord } from "./endpointRecord";
import { decodeLimits, encodeLimits } from "./limitsCodec";

const computeAllowed = (perSecond: number) => 1.5 * perSecond * (LIMIT_WINDOW_MS / 1_000) + 5;
const CALM = { newsDelayMs: 500, restartsPerSecond: 0, cutFromMs: 0, cutUntilMs: 0 };

describe("the limit that an endpoint names", () => {
    // Guards against: nodes that each keep a limit exceed it together, the more of them there are the more (LIMIT).
    it("holds in each window over random fleets with late news, restarts and partitions", () => {
        const simulation = fc.record({
            seed: fc.integer({ min: 1, max: 1_000_000 }),
            nodes: fc.integer({ min: 3, max: 195 }),
            perSecond: fc.double({ min: 0, max: 30, noNaN: true }),
            requestsPerSecond: fc.integer({ min: 1, max: 300 }),
            durationMs: fc.constant(16_000),
            newsDelayMs: fc.integer({ min: 0, max: 800 }),
            restartsPerSecond: fc.double({ min: 0, max: 3, noNaN: true }),
            cutFromMs: fc.integer({ min: 4_000, max: 12_000 }),
            cutUntilMs: fc.integer({ min: 4_000, max: 14_000 }),
        });
        fc.assert(
            fc.property(simulation, one => {
                const { busiestWindow } = simulateLimit(one);
                const allowed = computeAllowed(one.perSecond);
                assert.ok(busiestWindow <= allowed, `${busiestWindow}, allowed ${allowed}`);
            }),
            { numRuns: 40, seed: 24 },
        );
    });

    for (const [nodes, perSecond, requestsPerSecond] of [
        [3, 1.3, 60],
        [9, 1.4, 60],
        [9, 20, 200],
        [195, 10, 400],
    ] as const) {
        it(`is used to nine tenths by ${nodes} nodes: ${perSecond} a second of ${requestsPerSecond}`, () => {
            const simulation = { seed: 3, nodes, perSecond, requestsPerSecond, durationMs: 60_000, ...CALM };
            const { lateRate } = simulateLimit(simulation);
            assert.ok(lateRate >= 0.9 * perSecond, `${lateRate} of ${perSecond}`);
        });
    }

    const createOne = () => {
        const clock = createManualClock();
        const record = createEndpointRecord(makeEndpoint("i-1"), { roundTripMs: 0, penaltyMs: 0 }, clock);
        const limits = createEndpointLimits({
            nodeName: "n-1",
            directory: { findEndpoint: () => record },
            clusterTime: { readClusterMs: () => clock.readMonotonicMs(), hasAgreedOffset: () => true },
            readFleet: () => ({ nodes: 1, reachable: 1 }),
            clock,
            log: createLog({ write: () => undefined }),
        });
        const answer = (requestsPerSecondMax: number | undefined, sentAgoMs = 0) =>
            limits.recordAnswer(
                record,
                { requestsPerSecondMax, isMisdirected: false } as ResponseHead,
                clock.readMonotonicMs() - sentAgoMs,
            );
        return { clock, record, limits, answer };
    };

    it("ends with the first answer without it to a request that was sent since", () => {
        const { clock, record, limits, answer } = createOne();
        answer(1);
        clock.advanceMs(100);
        answer(undefined, 200);
        assert.ok(limits.computeWaitMs(record) > 0);
        answer(undefined, 50);
        assert.equal(limits.computeWaitMs(record), 0);
    });

    it("is forgotten by a new start of the endpoint", () => {
        const { clock, limits, answer } = createOne();
        answer(1);
        const restarted = createEndpointRecord(
            makeEndpoint("i-1", { startedAtMs: 5 }),
            { roundTripMs: 0, penaltyMs: 0 },
            clock,
        );
        assert.equal(limits.computeWaitMs(restarted), 0);
    });

    it("of zero lets a request through from time to time, so that its end is heard", () => {
        const { clock, record, limits, answer } = createOne();
        answer(0);
        limits.recordDemand(record);
        limits.mergeLimits(limits.readLimits());
        assert.ok(limits.computeWaitMs(record) > 0);
        clock.advanceMs(10_000);
        assert.equal(limits.computeWaitMs(record), 0);
    });

    it("from a later answer wins over an earlier one that arrives by the news", () => {
        const { clock, record, limits, answer } = createOne();
        answer(4);
        const earlier = limits.readLimits();
        clock.advanceMs(500);
        answer(undefined);
        limits.mergeLimits(earlier);
        assert.equal(limits.computeWaitMs(record), 0);
    });

    for (const [text, expected] of [
        ["1.3", 1.3],
        ["0", 0],
        [" 7 ", 7],
        ["", undefined],
        ["-1", undefined],
        ["nan", undefined],
        ["1e9", undefined],
        ["99999999999999999999", undefined],
        ["1, 2", undefined],
    ] as const) {
        it(`is ${expected} if the header is ${JSON.stringify(text)}`, () => {
            const head = PLATFORM_CODEC.readResponseHead(200, { "server-limit": text });
            assert.equal(head.requestsPerSecondMax, expected);
        });
    }

    it("is decoded from news as it was encoded, without malformed entries", () => {
        const reports = {
            "i-1": { perSecond: 1.3, atMs: 1_700, senders: ["n-1"] },
            "i-2@5": { perSecond: undefined, atMs: 1_900, senders: [] },
        };
        const sent = JSON.parse(JSON.stringify(encodeLimits(reports))) as Record<string, unknown>;
        assert.deepEqual(decodeLimits({ ...sent, "i-3": [[-1], 5, []], "i-4": "x" }), reports);
        assert.deepEqual(decodeLimits(undefined), {});
    });
});
