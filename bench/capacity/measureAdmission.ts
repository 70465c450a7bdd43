/**
 * @module Admission by the number of requests that wait.
 */
import { createAdmissionPool } from "../../src/decisions/admission/createAdmissionPool";
import { decideArrival } from "../../src/decisions/admission/decideArrival";
import { dispatchRequest } from "../../src/decisions/admission/dispatchRequest";
import { finishAdmittedRequest } from "../../src/decisions/admission/finishAdmittedRequest";
import { queueRequest } from "../../src/decisions/admission/queueRequest";
import type { WaitingRequest } from "../../src/decisions/admission/admissionPool";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { measureProcessor, readHeapBytes } from "./_lib/measureProcessor";

const WAITING = [10, 100, 1_000, 5_000];
const ACCOUNTS = 100;
const CAPACITY = {
    liveEndpoints: 48,
    ownInFlight: 100,
    freeSlots: 1_000,
    bestFirstTokenMs: 100,
    prefillTokensPerSecond: 1_000_000,
    tokenGapMs: 20,
    estimateErrorMs: 50,
    costAtTargetMicros: 100,
};

/**
 * Measures the processor time of one request's way through admission, and the memory of those that wait.
 *
 * @returns The figures
 * @example
 * measureAdmission();
 */
export function measureAdmission(): Readonly<Record<string, NewFigure>> {
    const processor = WAITING.map((waiting): Point => {
        const pool = createPool(waiting);
        const pass = (index: number) => {
            const request = buildRequest(waiting + index);
            decideArrival(pool, request, CAPACITY, 0);
            queueRequest(pool, request);
            const started = dispatchRequest(pool, () => true, index);
            finishAdmittedRequest(pool, started?.requestId ?? "", 300, index + 1);
        };
        return [waiting, measureProcessor({ what: "", unit: "µs" }, 1_000, pass).value];
    });
    const heap = WAITING.map((waiting): Point => {
        const before = readHeapBytes();
        const pool = createPool(waiting);
        const bytes = readHeapBytes() - before;
        return [waiting, pool.queued.size === waiting ? bytes : Number.NaN];
    });
    return {
        admissionProcessor: fitFigure(
            { what: "processor time of a request's arrival, start and end, for each waiting request", unit: "µs" },
            processor,
        ),
        admissionHeap: fitFigure({ what: "memory of a waiting request", unit: "bytes" }, heap),
    };
}

function createPool(waiting: number) {
    const pool = createAdmissionPool();
    for (let index = 0; index < waiting; index++) {
        queueRequest(pool, buildRequest(index));
    }
    return pool;
}

function buildRequest(index: number): WaitingRequest {
    return {
        requestId: `request-${index}`,
        accountName: `account-${index % ACCOUNTS}`,
        className: "chat",
        costTokens: 300,
        sizeTokens: 600,
        outputTokens: 281,
        latestStartAtMs: 1e9,
        costCeilingMicros: 1_000,
        latencyTargetMs: 1_200,
    };
}
