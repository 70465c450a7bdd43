import assert from "node:assert/strict";
import { err, ok } from "neverthrow";
import { describe, it } from "node:test";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import { RolloutPhase } from "../../model/gateway";
import type { RolloutRecord, RolloutRecordsPort } from "../../ports/rolloutRecords";
import type { RolloutMove } from "./rollouts";
import { loadRolloutRecords } from "./loadRolloutRecords";

const RECORD = {
    service: "chat",
    order: 7,
    target: "v2",
    phase: RolloutPhase.Completed,
    orderedAtMs: 0,
    rowVersion: 1,
};
const MOVE: RolloutMove = {
    order: { service: "chat", target: "v2", durationMs: 15_000, revision: 7 },
    phase: RolloutPhase.Trial,
    phaseForMs: 0,
    knownForMs: 0,
    isInUse: false,
    missing: [],
};

async function load(moves: readonly RolloutMove[], failures: number) {
    let calls = 0;
    const taken: RolloutRecord[] = [];
    const records: RolloutRecordsPort = {
        listRecords: () => {
            const isFailing = ++calls <= failures;
            const failure = createFailure(FailureKind.StoreUnavailable, "The store is away.");
            return Promise.resolve(isFailing ? err(failure) : ok([RECORD]));
        },
        commitRecord: () => Promise.resolve(ok(undefined)),
    };
    const rollouts = {
        listMoves: () => moves,
        applyRecords: (list: readonly RolloutRecord[]) => void taken.push(...list),
    };
    await loadRolloutRecords(rollouts, records, { waitMs: () => Promise.resolve() });
    return { calls, taken };
}

describe("what the store has of moves", () => {
    // Guards against: after all nodes were lost, a completed version counts as on trial and nothing serves.
    it("is read at the start, again while the store fails", async () => {
        assert.deepEqual(await load([MOVE], 2), { calls: 3, taken: [RECORD] });
    });

    it("is not read without an order", async () => {
        assert.equal((await load([], 0)).calls, 0);
    });
});
