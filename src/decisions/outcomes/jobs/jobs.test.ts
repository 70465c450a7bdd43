import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createFailure } from "../../../base/createFailure";
import { Execution, FailureKind } from "../../../base/failure";
import { JobState } from "../../../tasks/jobs/jobClient";
import { buildJobAcceptance } from "./buildJobAcceptance";
import { buildJobEnding } from "./buildJobEnding";
import { buildJobHandover } from "./buildJobHandover";
import { buildJobKey } from "./buildJobKey";
import { buildOpenJobKey } from "./buildOpenJobKey";
import { DEADLINE_MARGIN_MS } from "./constants";
import { decideCheckpoint } from "./decideCheckpoint";
import { decideJobRetry } from "./decideJobRetry";
import { decideJobStep, JobStep } from "./decideJobStep";
import type { JobRecord, OpenJob } from "./jobRecord";
import { decodeJob, decodeOpenJob } from "./jobRows";
import { buildJobId } from "./buildJobId";

const RECORD: JobRecord = {
    jobId: buildJobId(1_000, "abc"),
    accountName: "depot/north",
    className: "digest",
    isIdempotent: true,
    model: "chat",
    state: JobState.Queued,
    acceptedAtWallMs: 1_000,
    deadlineWallMs: 60_000,
    body: { objectKey: "jobs/bodies/1", start: 0, end: 10 },
    keyRow: "jobs/key/1",
};
const OPEN: OpenJob = {
    jobId: RECORD.jobId,
    accountName: RECORD.accountName,
    holder: "jobs/node-1/a",
    epoch: 1,
    deadlineWallMs: RECORD.deadlineWallMs,
};

describe("job ids", () => {
    it("sort newest first", () => {
        const wallMs = fc.integer({ min: 0, max: 4_000_000_000_000 });
        fc.assert(
            fc.property(wallMs, wallMs, (left, right) => {
                fc.pre(left !== right);
                assert.equal(buildJobId(left, "a") < buildJobId(right, "a"), left > right);
            }),
        );
    });
});

describe("job rows", () => {
    it("decode to what was encoded, and invalid texts are rejected", () => {
        const entry = buildJobAcceptance(RECORD, OPEN.holder, "{}");
        assert.deepEqual(decodeJob(entry.writes[0]?.value ?? ""), RECORD);
        assert.deepEqual(decodeOpenJob(entry.writes[1]?.value ?? ""), OPEN);
        assert.equal(decodeJob("{}"), undefined);
        assert.equal(decodeOpenJob("not json"), undefined);
    });

    it("are written under conditions that only one of two competing nodes can meet", () => {
        const acceptance = buildJobAcceptance(RECORD, "", "{}");
        assert.ok(acceptance.conditions.every(({ version }) => version === undefined));
        assert.equal(acceptance.conditions.length, acceptance.writes.length);
        const open = { record: OPEN, version: 7 };
        const handover = buildJobHandover(open, "jobs/node-2/b");
        assert.deepEqual(handover.conditions, [{ key: buildOpenJobKey(RECORD.jobId), version: 7 }]);
        assert.equal(decodeOpenJob(handover.writes[0]?.value ?? "")?.epoch, 2);
        const ending = buildJobEnding({ record: RECORD, version: 5 }, open, { state: JobState.Succeeded }, 2_000);
        assert.deepEqual(ending.conditions, [
            { key: buildJobKey(RECORD), version: 5 },
            { key: buildOpenJobKey(RECORD.jobId), version: 7 },
        ]);
    });
});

describe("decideJobStep", () => {
    const local = { holder: "jobs/node-2/b", isRunningHere: false, isHolderSuspect: false };
    const lateMs = OPEN.deadlineWallMs + DEADLINE_MARGIN_MS;
    const cases: readonly [string, Partial<OpenJob>, Partial<typeof local>, number, JobStep][] = [
        ["a job held by a live node", {}, {}, 2_000, JobStep.Leave],
        ["a job held by a node that may be gone", {}, { isHolderSuspect: true }, 2_000, JobStep.Adopt],
        ["a job without a holder", { holder: "" }, {}, 2_000, JobStep.Take],
        ["a job held here but not started", { holder: local.holder }, {}, 2_000, JobStep.Run],
        ["a job running here", { holder: local.holder }, { isRunningHere: true }, 2_000, JobStep.Leave],
        ["a job past its deadline by less than the margin", {}, {}, lateMs - 1, JobStep.Leave],
        ["a job past its deadline by the margin", {}, {}, lateMs, JobStep.Expire],
    ];
    for (const [name, open, changes, nowWallMs, expected] of cases) {
        it(`answers ${expected} for ${name}`, () => {
            assert.equal(decideJobStep({ ...OPEN, ...open }, { ...local, ...changes }, nowWallMs), expected);
        });
    }
});

describe("decideCheckpoint", () => {
    const costs = {
        tokensSinceCheckpoint: 2_000,
        microsPerThousandTokens: 8_000,
        writeMicros: 5,
        missMicros: 1_000_000,
    };

    it("writes a checkpoint when the job is handed over, but not for an unlikely loss of the node", () => {
        assert.equal(decideCheckpoint({ ...costs, lossChance: 1, isLossFatal: false }), true);
        assert.equal(decideCheckpoint({ ...costs, lossChance: 0.000_001, isLossFatal: false }), false);
        assert.equal(decideCheckpoint({ ...costs, lossChance: 0.000_01, isLossFatal: true }), true);
        assert.equal(decideCheckpoint({ ...costs, lossChance: 1, isLossFatal: true, tokensSinceCheckpoint: 0 }), false);
    });
});

describe("decideJobRetry", () => {
    const unknown = { execution: Execution.Unknown };

    it("retries idempotent jobs and jobs that were not run, as long as time remains", () => {
        const failed = createFailure(FailureKind.EndpointFailed, "reset", unknown);
        assert.equal(decideJobRetry(failed, true, 1_000, 100), true);
        assert.equal(decideJobRetry(failed, false, 1_000, 100), false);
        assert.equal(decideJobRetry(failed, true, 100, 100), false);
        assert.equal(decideJobRetry(createFailure(FailureKind.Overloaded, "full"), false, 1_000, 100), true);
        assert.equal(decideJobRetry(createFailure(FailureKind.InvalidRequest, "bad"), true, 1_000, 100), false);
        const inProgress = createFailure(FailureKind.IdempotencyKeyInProgress, "other", unknown);
        assert.equal(decideJobRetry(inProgress, false, 1_000, 100), true);
    });
});
