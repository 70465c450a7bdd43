import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../base/createManualClock";
import { makeEndpoint } from "./_testing/makeEndpoint";
import { buildEndpointView, createEndpointRecord, recordPeerPrompt } from "./endpointRecord";

const TOKENS_PER_MS = 50;

describe("the record of an endpoint", () => {
    it("counts prompts that peers sent there until the endpoint has read them", () => {
        const record = createEndpointRecord(makeEndpoint("i-1"), { roundTripMs: 0, penaltyMs: 0 }, createManualClock());
        const readPending = (nowMs: number) => buildEndpointView(record, [], TOKENS_PER_MS, nowMs).pendingTokens;
        recordPeerPrompt(record, 10_000, TOKENS_PER_MS, 0);
        assert.equal(readPending(100), 5_000);
        recordPeerPrompt(record, 2_000, TOKENS_PER_MS, 100);
        assert.equal(readPending(120), 6_000);
        assert.equal(readPending(1_000), 0);
    });
});
