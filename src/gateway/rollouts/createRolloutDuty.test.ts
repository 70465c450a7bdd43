import assert from "node:assert/strict";
import { err, ok, type Result } from "neverthrow";
import { beforeEach, describe, it } from "node:test";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { type Failure, FailureKind } from "../../base/failure";
import { createLog } from "../../base/log/createLog";
import { planRollout } from "../../decisions/versions/planRollout";
import { type RolloutOrder, RolloutPhase } from "../../model/gateway";
import type { RolloutRecord, RolloutRecordsPort, StoredRolloutRecord } from "../../ports/rolloutRecords";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { createRolloutDuty } from "./createRolloutDuty";
import type { RolloutMove } from "./rollouts";
import { createEndpointRecord } from "../endpoints/endpointRecord";
import type { Duty } from "../duties/startDutyHolder";

const ORDER: RolloutOrder = { service: "chat", target: "v2", durationMs: 15_000, revision: 7 };
const { shiftMs, endMs } = planRollout(ORDER.durationMs);

describe("the duty of ordered moves", () => {
    let clock: ReturnType<typeof createManualClock>;
    let move: RolloutMove;
    let rows: Map<string, StoredRolloutRecord>;
    let failure: FailureKind | undefined;
    let duty: Duty;

    const fail = () => err(createFailure(failure ?? FailureKind.StoreUnavailable, "The store is away."));
    const records: RolloutRecordsPort = {
        listRecords: () =>
            Promise.resolve<Result<readonly StoredRolloutRecord[], Failure>>(
                failure === FailureKind.StoreUnavailable ? fail() : ok([...rows.values()]),
            ),
        commitRecord: (record: RolloutRecord, rowVersion) => {
            if (failure === FailureKind.StoreUnavailable) {
                return Promise.resolve(fail());
            }
            if (rows.get(record.service)?.rowVersion !== rowVersion) {
                return Promise.resolve(err(createFailure(FailureKind.StoreConflict, "The row has changed.")));
            }
            rows.set(record.service, { ...record, rowVersion: (rowVersion ?? 0) + 1 });
            return Promise.resolve(failure === undefined ? ok(undefined) : fail());
        },
    };
    const createDuty = () =>
        createRolloutDuty({
            rollouts: {
                listMoves: () => {
                    const nowMs = clock.readMonotonicMs();
                    return [{ ...move, knownForMs: nowMs - startedAtMs, phaseForMs: nowMs - advancedAtMs }];
                },
                advanceMove: (_order, phase) => {
                    move = { ...move, phase: Math.max(phase, move.phase) };
                    advancedAtMs = clock.readMonotonicMs();
                },
                applyRecords: list =>
                    list
                        .filter(({ order }) => order === ORDER.revision)
                        .forEach(({ phase }) => (move = { ...move, phase: Math.max(phase, move.phase) })),
            },
            directory: {
                listUsable: () =>
                    versions.map(version =>
                        createEndpointRecord(
                            makeEndpoint(version, { version }),
                            { roundTripMs: 0, penaltyMs: 0 },
                            clock,
                        ),
                    ),
            },
            records,
            clusterTime: { readClusterMs: () => clock.readMonotonicMs(), hasAgreedOffset: () => true },
            clock,
            log: createLog({ write: () => undefined }),
        });
    let startedAtMs = 0;
    let advancedAtMs = 0;
    let versions: readonly string[] = [];
    beforeEach(() => {
        clock = createManualClock();
        startedAtMs = clock.readMonotonicMs();
        advancedAtMs = startedAtMs;
        move = { order: ORDER, phase: RolloutPhase.Trial, knownForMs: 0, phaseForMs: 0, isInUse: false, missing: [] };
        rows = new Map();
        versions = ["v1", "v2"];
        failure = undefined;
        duty = createDuty();
        duty.beginTerm();
    });
    const run = async (untilMs: number, steps = 3) => {
        clock.advanceMs(startedAtMs + untilMs - clock.readMonotonicMs());
        for (let step = 0; step < steps; step++) {
            await duty.runStep(() => ({ nodeName: "n-1", epoch: 1 }));
        }
    };
    const readPhase = () => rows.get("chat")?.phase;

    it("stores a new order at once, and a good version as completed only once requests have shifted", async () => {
        await run(0);
        assert.equal(readPhase(), RolloutPhase.Trial);
        await run(shiftMs + 10);
        assert.equal(move.phase, RolloutPhase.Shifting);
        await run(endMs);
        assert.equal(readPhase(), RolloutPhase.Completed);
        assert.equal(move.phase, RolloutPhase.Completed);
    });

    // Guards against: a good version is rolled back since its node was held up while it should have shifted (missed duty).
    it("completes a good version before its deadline although the step of the shift came late", async () => {
        await run(0);
        await run(endMs + 10);
        assert.equal(move.phase, RolloutPhase.Shifting);
        const nowMs = clock.readMonotonicMs() - startedAtMs;
        const dueMs = duty.computeDueMs?.() ?? Number.NaN;
        assert.ok(nowMs + dueMs < ORDER.durationMs);
        await run(nowMs + dueMs);
        assert.equal(readPhase(), RolloutPhase.Completed);
    });

    // Guards against: steps at a fixed period miss the time in which a good version shifts (missed duty).
    it("is due exactly when a good version shifts", async () => {
        await run(shiftMs - 40);
        assert.equal(duty.computeDueMs?.(), 40);
    });

    it("is not due for a move that has ended", async () => {
        move = { ...move, phase: RolloutPhase.RolledBack };
        assert.equal(duty.computeDueMs?.(), undefined);
    });

    it("stores a rollback at once", async () => {
        await run(0);
        move = { ...move, phase: RolloutPhase.RolledBack };
        await run(1_000);
        assert.equal(readPhase(), RolloutPhase.RolledBack);
    });

    it("rolls back what is undecided at the end", async () => {
        move = { ...move, missing: ["x"] };
        await run(endMs);
        assert.equal(readPhase(), RolloutPhase.RolledBack);
    });

    // Guards against: an unproved version gets all requests since the old endpoints are down at the end (EXPOSURE).
    it("rolls back what is undecided at the end although no endpoint of the old version is left", async () => {
        move = { ...move, missing: ["x"] };
        versions = ["v2"];
        await run(0);
        await run(shiftMs + 10);
        assert.equal(move.phase, RolloutPhase.Trial);
        await run(endMs);
        assert.equal(readPhase(), RolloutPhase.RolledBack);
    });

    // Guards against: a completion that is only assumed stops nothing, or is stored over a rollback.
    it("completes no move in its own view before the store has it", async () => {
        await run(0);
        await run(shiftMs + 10);
        failure = FailureKind.StoreUnavailable;
        await run(endMs);
        assert.equal(move.phase, RolloutPhase.Shifting);
        move = { ...move, phase: RolloutPhase.RolledBack };
        failure = undefined;
        await run(endMs + 1_000);
        assert.equal(readPhase(), RolloutPhase.RolledBack);
    });

    it("reads back a write whose answer was lost", async () => {
        await run(0);
        move = { ...move, phase: RolloutPhase.RolledBack };
        failure = FailureKind.StoreOutcomeUnknown;
        await run(1_000);
        failure = undefined;
        await run(2_000);
        assert.equal(rows.get("chat")?.rowVersion, 2);
    });

    it("goes by what a former holder has stored: its end, and the time of the order", async () => {
        rows.set("chat", {
            ...ORDER,
            order: 7,
            phase: RolloutPhase.Trial,
            orderedAtMs: startedAtMs - endMs,
            rowVersion: 4,
        });
        move = { ...move, missing: ["x"] };
        await run(0);
        assert.equal(readPhase(), RolloutPhase.RolledBack);
        await run(1_000);
        assert.equal(rows.get("chat")?.rowVersion, 5);
    });

    it("replaces the record of an earlier order", async () => {
        rows.set("chat", { ...ORDER, order: 3, phase: RolloutPhase.Completed, orderedAtMs: 0, rowVersion: 4 });
        await run(0);
        assert.deepEqual([rows.get("chat")?.order, readPhase()], [7, RolloutPhase.Trial]);
    });

    it("writes nothing without the lease", async () => {
        await duty.runStep(() => undefined);
        assert.equal(rows.size, 0);
    });
});
