import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { countInvariantViolations, Invariant } from "../../base/assertInvariant";
import { createRandom } from "../../base/createRandom";
import { FailureKind } from "../../base/failure";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";
import { cancelRequest } from "./cancelRequest";
import { createAdmissionPool } from "./createAdmissionPool";
import { decideArrival } from "./decideArrival";
import { dispatchRequest } from "./dispatchRequest";
import { dropLateRequests } from "./dropLateRequests";
import { estimateCost } from "./estimateCost";
import { estimateWait } from "./estimateWait";
import { finishAdmittedRequest } from "./finishAdmittedRequest";
import { queueRequest } from "./queueRequest";

const CAPACITY = {
    liveEndpoints: 2,
    ownInFlight: 0,
    freeSlots: 10,
    bestFirstTokenMs: 50,
    prefillTokensPerSecond: 8_000,
    tokenGapMs: 20,
    estimateErrorMs: 0,
    costAtTargetMicros: 100,
};

let nextId = 0;

function createRequest(accountName: string, options: Partial<WaitingRequest> = {}): WaitingRequest {
    return {
        requestId: `r${nextId++}`,
        accountName,
        className: "question",
        costTokens: 100,
        sizeTokens: 200,
        outputTokens: 50,
        latestStartAtMs: 1_000,
        costCeilingMicros: 1_000,
        latencyTargetMs: 1_200,
        ...options,
    };
}

function queueMany(pool: AdmissionPool, accountName: string, count: number, options: Partial<WaitingRequest> = {}) {
    for (let index = 0; index < count; index++) {
        queueRequest(pool, createRequest(accountName, options));
    }
}

function dispatchMany(pool: AdmissionPool, count: number): readonly string[] {
    return Array.from({ length: count }, () => dispatchRequest(pool, () => true, 0)?.accountName ?? "none");
}

function countOf(names: readonly string[], name: string): number {
    return names.filter(other => other === name).length;
}

describe("the order of admission", () => {
    it("shares tokens, not numbers of requests, equally among accounts", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "large", 100, { costTokens: 400 });
        queueMany(pool, "small", 100, { costTokens: 100 });
        const names = dispatchMany(pool, 50);
        assert.equal(countOf(names, "small"), 40);
        assert.equal(countOf(names, "large"), 10);
    });

    it("lets an account use idle capacity without charging it later", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "large", 200);
        assert.equal(countOf(dispatchMany(pool, 100), "large"), 100);
        queueMany(pool, "small", 20);
        const names = dispatchMany(pool, 20);
        assert.ok(Math.abs(countOf(names, "small") - 10) <= 1, names.join());
    });

    it("lets no account accumulate share while idle", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "idle", 1);
        dispatchMany(pool, 1);
        queueMany(pool, "busy", 300);
        dispatchMany(pool, 200);
        queueMany(pool, "idle", 50);
        assert.ok(Math.abs(countOf(dispatchMany(pool, 20), "idle") - 10) <= 1);
    });

    it("starts the request with the least slack of an account first", () => {
        const pool = createAdmissionPool();
        queueRequest(pool, createRequest("a", { requestId: "late", latestStartAtMs: 60_000 }));
        queueRequest(pool, createRequest("a", { requestId: "soon", latestStartAtMs: 800 }));
        assert.equal(dispatchRequest(pool, () => true, 0)?.requestId, "soon");
        assert.equal(dispatchRequest(pool, () => true, 0)?.requestId, "late");
        assert.equal(
            dispatchRequest(pool, () => true, 0),
            undefined,
        );
    });

    it("charges the tokens that were actually used", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "understates", 20);
        queueMany(pool, "honest", 20);
        const first = dispatchRequest(pool, () => true, 0);
        assert.equal(first?.accountName, "understates");
        finishAdmittedRequest(pool, first.requestId, 1_000, 100);
        assert.equal(countOf(dispatchMany(pool, 10), "honest"), 10);
    });

    it("skips an account whose first request can't start", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "cheap", 5, { costCeilingMicros: 1 });
        queueMany(pool, "dear", 5);
        const hasCapacity = (request: WaitingRequest) => request.costCeilingMicros > 10;
        const names = Array.from({ length: 5 }, () => dispatchRequest(pool, hasCapacity, 0)?.accountName);
        assert.deepEqual(names, ["dear", "dear", "dear", "dear", "dear"]);
        assert.equal(dispatchRequest(pool, hasCapacity, 0), undefined);
        assert.equal(dispatchRequest(pool, () => true, 0)?.accountName, "cheap");
    });

    it("drops exactly the requests that can no longer meet their target", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "a", 3, { latestStartAtMs: 100 });
        queueMany(pool, "b", 2, { latestStartAtMs: 300 });
        assert.equal(dropLateRequests(pool, 100).length, 0);
        assert.deepEqual(
            dropLateRequests(pool, 200).map(request => request.accountName),
            ["a", "a", "a"],
        );
        assert.equal(pool.queued.size, 2);
    });
});

describe("decisions on arrival", () => {
    const cases = [
        { name: "no live endpoint", change: { liveEndpoints: 0 }, kind: FailureKind.Overloaded },
        {
            name: "a target that no endpoint meets",
            change: { costAtTargetMicros: undefined },
            kind: FailureKind.TargetUnreachable,
        },
        {
            name: "a cost above the ceiling",
            change: { costAtTargetMicros: 2_000 },
            kind: FailureKind.CostCeilingExceeded,
        },
    ];
    for (const { name, change, kind } of cases) {
        it(`treat ${name} as ${kind}`, () => {
            const pool = createAdmissionPool();
            const failure = decideArrival(pool, createRequest("a"), { ...CAPACITY, ...change }, 0);
            assert.equal(failure?.kind, kind);
            assert.equal(failure.execution, "not_run");
            assert.equal(failure.retryAfterMs !== undefined, kind === FailureKind.Overloaded);
        });
    }

    it("refuse a request whose estimated wait exceeds its slack, with a sufficient retry hint", () => {
        const pool = createAdmissionPool();
        Object.assign(pool, { meanDurationMs: 1_000, meanCostTokens: 100 });
        queueMany(pool, "a", 9);
        assert.equal(decideArrival(pool, createRequest("a"), CAPACITY, 0), undefined);
        queueMany(pool, "a", 11);
        const failure = decideArrival(pool, createRequest("a"), CAPACITY, 0);
        assert.equal(failure?.kind, FailureKind.Overloaded);
        const hintMs = failure.retryAfterMs ?? 0;
        assert.ok(hintMs >= 1_000 && hintMs <= 1_500, `wait 2000 ms, slack 1000 ms, hint ${hintMs} ms`);
    });

    it("admit a small account despite the queue of a large one", () => {
        const pool = createAdmissionPool();
        Object.assign(pool, { meanDurationMs: 1_000, meanCostTokens: 100 });
        queueMany(pool, "large", 200);
        assert.notEqual(decideArrival(pool, createRequest("large"), CAPACITY, 0), undefined);
        assert.equal(decideArrival(pool, createRequest("small"), CAPACITY, 0), undefined);
    });

    it("don't count requests with longer targets as ahead", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "a", 50, { latencyTargetMs: 60_000, latestStartAtMs: 60_000 });
        assert.equal(estimateWait(pool, createRequest("a"), 1), 0);
        assert.equal(estimateWait(pool, createRequest("a", { latencyTargetMs: 60_000 }), 1), 5_000);
    });

    it("use a cost per class that is learned from finished requests", () => {
        const pool = createAdmissionPool();
        const size = { className: "question", promptTokens: 100, maximumTokens: 100 };
        assert.equal(estimateCost(pool, size), 120);
        for (let index = 0; index < 100; index++) {
            queueRequest(pool, createRequest("a"));
            const admitted = dispatchRequest(pool, () => true, 0);
            finishAdmittedRequest(pool, admitted?.requestId ?? "", 40, 100);
        }
        assert.ok(estimateCost(pool, size) < 45);
    });
});

type Action = "arrive" | "dispatch" | "finish" | "cancel" | "drop";

function runActions(actions: readonly { action: Action; pick: number; cost: number }[]) {
    const pool = createAdmissionPool();
    const counts = { arrived: 0, cancelled: 0, dropped: 0, finished: 0 };
    actions.forEach(({ action, pick, cost }, index) => {
        const nowMs = index * 10;
        const handlers: Record<Action, () => void> = {
            arrive: () => {
                counts.arrived++;
                queueRequest(
                    pool,
                    createRequest(`account-${pick % 4}`, { costTokens: cost, latestStartAtMs: nowMs + pick * 20 }),
                );
            },
            dispatch: () => void dispatchRequest(pool, () => true, nowMs),
            finish: () => {
                const ids = [...pool.admitted.keys()];
                const id = ids[pick % Math.max(1, ids.length)] ?? "";
                counts.finished += finishAdmittedRequest(pool, id, cost, nowMs) ? 1 : 0;
            },
            cancel: () => {
                const ids = [...pool.queued.keys()];
                counts.cancelled += cancelRequest(pool, ids[pick % Math.max(1, ids.length)] ?? "") ? 1 : 0;
            },
            drop: () => void (counts.dropped += dropLateRequests(pool, nowMs).length),
        };
        handlers[action]();
    });
    return { pool, counts };
}

describe("any sequence of actions", () => {
    const action = fc.record({
        action: fc.constantFrom<Action>("arrive", "arrive", "arrive", "dispatch", "finish", "cancel", "drop"),
        pick: fc.nat(50),
        cost: fc.integer({ min: 1, max: 2_000 }),
    });

    it("conserves requests and tokens and guarantees the fair share", () => {
        fc.assert(
            fc.property(fc.array(action, { maxLength: 300 }), actions => {
                const { pool, counts } = runActions(actions);
                const { arrived, cancelled, dropped, finished } = counts;
                const held = pool.queued.size + pool.admitted.size;
                assert.equal(arrived, held + cancelled + dropped + finished);
                const tokens = [...pool.queued.values()].reduce((sum, { request }) => sum + request.costTokens, 0);
                assert.equal(pool.waitingTokens, tokens);
                const accounts = [...pool.accounts.values()];
                assert.equal(
                    accounts.reduce((sum, account) => sum + account.waitingTokens, 0),
                    tokens,
                );
                assert.equal(
                    accounts.reduce((sum, account) => sum + account.admittedCount, 0),
                    pool.admitted.size,
                );
            }),
            { seed: 4, numRuns: 300 },
        );
    });

    it("leaves no request waiting that could be dispatched", () => {
        fc.assert(
            fc.property(fc.array(action, { maxLength: 200 }), actions => {
                const { pool } = runActions(actions);
                const waiting = pool.queued.size;
                assert.equal(countOf(dispatchMany(pool, waiting), "none"), 0);
                assert.equal(
                    dispatchRequest(pool, () => true, 0),
                    undefined,
                );
                assert.equal(pool.queued.size, 0);
            }),
            { seed: 5, numRuns: 200 },
        );
    });
});

describe("a long random run", () => {
    it("keeps a greedy account from starving small ones", () => {
        const random = createRandom(11);
        const pool = createAdmissionPool();
        const admittedCounts = new Map<string, number>();
        const runningIds: string[] = [];
        for (let step = 0; step < 100_000; step++) {
            const name = random.drawFraction() < 0.8 ? "large" : `small-${random.drawInteger(1, 4)}`;
            const tokens = random.drawInteger(20, 800);
            if ((pool.accounts.get(name)?.waitingCount ?? 0) < 500) {
                queueRequest(pool, createRequest(name, { costTokens: tokens, latestStartAtMs: step + 5_000 }));
            }
            if (random.drawFraction() < 0.3) {
                const admitted = dispatchRequest(pool, () => true, step);
                admittedCounts.set(
                    admitted?.accountName ?? "",
                    (admittedCounts.get(admitted?.accountName ?? "") ?? 0) + 1,
                );
                runningIds.push(admitted?.requestId ?? "");
            }
            if (runningIds.length > 50) {
                finishAdmittedRequest(pool, runningIds.shift() ?? "", random.drawInteger(10, 1_200), step);
            }
            dropLateRequests(pool, step);
        }
        const smallest = Math.min(...[1, 2, 3, 4].map(index => admittedCounts.get(`small-${index}`) ?? 0));
        assert.ok(smallest > 4_000, `small accounts send 5000 requests each; fewest admitted: ${smallest}`);
        assert.equal(countInvariantViolations().get(Invariant.FairShareFloor) ?? 0, 0);
    });

    it("reports a violation of the fair order", () => {
        const pool = createAdmissionPool();
        queueMany(pool, "greedy", 50);
        queueMany(pool, "starved", 50);
        const dispatchUnfairly = () => {
            dispatchRequest(pool, () => true, 0);
            pool.accounts.get("greedy")!.finishTag = -1_000;
            pool.virtualTime = -1_000;
            pool.accounts.get("greedy")!.orderVersion++;
            pool.order.push({
                account: pool.accounts.get("greedy")!,
                startTag: -1_000,
                orderVersion: pool.accounts.get("greedy")!.orderVersion,
            });
        };
        assert.throws(() => Array.from({ length: 40 }, dispatchUnfairly), /fair_share_floor/);
    });
});
