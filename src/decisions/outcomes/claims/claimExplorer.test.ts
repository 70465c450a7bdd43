import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    advanceClaim,
    beginClaim,
    ClaimResult,
    type ClaimProcedure,
    ClaimStepKind,
    type TableAnswer,
    TableAnswerKind,
} from "./advanceClaim";
import { advanceSettlement, beginSettlement, type SettlementStep, SettlementStepKind } from "./advanceSettlement";
import { type ClaimRecord, ClaimState } from "./claimRecord";
import type { Settlement } from "./decideSettlement";

// Explores every interleaving of two requests that use one key, with crashes, lost answers, writes that take effect
// late, an unavailable store and the end of a claim's validity, until no new state is found.

// CLAIM_EXPLORER_FAULTS=3 explores one fault more, which takes most of a minute.
const FAULT_COUNTS = [0, 1, 2, ...(process.env["CLAIM_EXPLORER_FAULTS"] === "3" ? [3] : [])];
const VALID_UNTIL_MS = 100;
const BEFORE_END_MS = 50;
const AFTER_END_MS = 150;

interface Row {
    readonly record: ClaimRecord;
    readonly version: number;
}

interface Write {
    readonly record: ClaimRecord;
    readonly expected: number | undefined;
}

interface Claimer {
    readonly procedure: ClaimProcedure;
    readonly settlement?: Settlement;
    readonly step?: SettlementStep;
    readonly hasSent: boolean;
    readonly isCrashed: boolean;
}

interface World {
    readonly row?: Row;
    readonly late: readonly Write[];
    readonly claimers: readonly Claimer[];
    readonly nowWallMs: number;
    readonly faultsLeft: number;
    readonly versions: number;
}

const createClaimer = (requestId: string): Claimer => ({
    procedure: beginClaim({ bodyHash: "body", requestId, nodeId: "node", validUntilWallMs: VALID_UNTIL_MS }),
    hasSent: false,
    isCrashed: false,
});

const createWorld = (faultsLeft: number): World => ({
    late: [],
    claimers: [createClaimer("a"), createClaimer("b")],
    nowWallMs: BEFORE_END_MS,
    faultsLeft,
    versions: 0,
});

const applyWrite = (world: World, write: Write): { world: World; answer: TableAnswer } => {
    if (world.row?.version !== write.expected) {
        return { world, answer: { kind: TableAnswerKind.Conflict } };
    }
    const version = world.versions + 1;
    assertAllowed(world.row?.record, write.record);
    return {
        world: { ...world, row: { record: write.record, version }, versions: version },
        answer: { kind: TableAnswerKind.Committed, version },
    };
};

const assertAllowed = (before: ClaimRecord | undefined, after: ClaimRecord): void => {
    assert.notEqual(before?.state, ClaimState.Ran, "what ran is never overwritten");
    if (before?.state === ClaimState.Unknown) {
        assert.equal(after.requestId, before.requestId, "what is unknown is settled by its holder only");
        assert.notEqual(after.state, ClaimState.Claimed, "what is unknown is never claimed again");
    }
};

/** Every way in which the table can answer a write, with the fault budget it takes. */
const listWriteAnswers = (world: World, write: Write): { world: World; answer: TableAnswer }[] => {
    const regular = applyWrite(world, write);
    if (world.faultsLeft === 0) {
        return [regular];
    }
    const lost: TableAnswer = { kind: TableAnswerKind.Unknown };
    const faulty = { ...world, faultsLeft: world.faultsLeft - 1 };
    return [
        regular,
        { world: applyWrite(faulty, write).world, answer: lost },
        { world: faulty, answer: lost },
        { world: { ...faulty, late: [...faulty.late, write] }, answer: lost },
        { world: faulty, answer: { kind: TableAnswerKind.Unavailable } },
    ];
};

const listReadAnswers = (world: World): { world: World; answer: TableAnswer }[] => {
    const row: TableAnswer = { kind: TableAnswerKind.Row, ...world.row };
    const faulty = { ...world, faultsLeft: world.faultsLeft - 1 };
    return world.faultsLeft === 0
        ? [{ world, answer: row }]
        : [
              { world, answer: row },
              { world: faulty, answer: { kind: TableAnswerKind.Unavailable } },
          ];
};

const replaceClaimer = (world: World, index: number, claimer: Claimer): World => ({
    ...world,
    claimers: world.claimers.map((other, position) => (position === index ? claimer : other)),
});

const listClaimSteps = (world: World, index: number, claimer: Claimer): World[] => {
    const { step } = claimer.procedure;
    if (step.kind === ClaimStepKind.End) {
        return listHolderSteps(world, index, claimer);
    }
    const answers =
        step.kind === ClaimStepKind.Read
            ? listReadAnswers(world)
            : listWriteAnswers(world, { record: step.record, expected: step.version });
    return answers.map(({ world: after, answer }) =>
        replaceClaimer(after, index, {
            ...claimer,
            procedure: advanceClaim(claimer.procedure, answer, after.nowWallMs),
        }),
    );
};

const listHolderSteps = (world: World, index: number, claimer: Claimer): World[] => {
    const { step, claimant: ask, hasLostAnswer } = claimer.procedure;
    assert.equal(step.kind, ClaimStepKind.End);
    if (step.kind !== ClaimStepKind.End) {
        return [];
    }
    const settle = (state: Settlement["state"], hasSent: boolean): World => {
        const settlement: Settlement = { requestId: ask.requestId, state };
        const known =
            step.record === undefined || step.version === undefined
                ? undefined
                : { record: step.record, version: step.version };
        const first = beginSettlement(settlement, known);
        return replaceClaimer(world, index, { ...claimer, settlement, step: first, hasSent });
    };
    if (step.end === ClaimResult.Held) {
        return [settle(ClaimState.Ran, true), settle(ClaimState.Unknown, true), settle(ClaimState.NotRun, false)];
    }
    return step.end === ClaimResult.StoreDown && hasLostAnswer ? [settle(ClaimState.NotRun, false)] : [];
};

const listSettlementSteps = (world: World, index: number, claimer: Claimer): World[] => {
    const { step, settlement } = claimer;
    if (settlement === undefined || step === undefined || step.kind === SettlementStepKind.Done) {
        return [];
    }
    if (step.kind === SettlementStepKind.Postponed) {
        return [replaceClaimer(world, index, { ...claimer, step: { kind: SettlementStepKind.Read } })];
    }
    const answers =
        step.kind === SettlementStepKind.Read
            ? listReadAnswers(world)
            : listWriteAnswers(world, { record: step.record, expected: step.version });
    return answers.map(({ world: after, answer }) =>
        replaceClaimer(after, index, { ...claimer, step: advanceSettlement(settlement, answer) }),
    );
};

const listNextWorlds = (world: World): World[] => {
    const next: World[] = [];
    world.claimers.forEach((claimer, index) => {
        if (claimer.isCrashed) {
            return;
        }
        next.push(
            ...(claimer.settlement === undefined
                ? listClaimSteps(world, index, claimer)
                : listSettlementSteps(world, index, claimer)),
        );
        if (world.faultsLeft > 0) {
            const crashed = { ...claimer, isCrashed: true };
            next.push(replaceClaimer({ ...world, faultsLeft: world.faultsLeft - 1 }, index, crashed));
        }
    });
    world.late.forEach((write, index) => {
        const late = world.late.filter((_other, position) => position !== index);
        next.push(applyWrite({ ...world, late }, write).world);
    });
    if (world.nowWallMs === BEFORE_END_MS) {
        next.push({ ...world, nowWallMs: AFTER_END_MS });
    }
    return next;
};

/** What stands in the row is true of the request it names. */
const assertRecordIsTrue = (world: World): void => {
    const record = world.row?.record;
    const holder = world.claimers.find(claimer => claimer.procedure.claimant.requestId === record?.requestId);
    const isSettled = record?.state === ClaimState.Ran || record?.state === ClaimState.NotRun;
    if (isSettled) {
        assert.equal(holder?.hasSent, record.state === ClaimState.Ran, "the recorded outcome is true");
        assert.equal(holder.settlement?.state, record.state, "the holder itself recorded it");
    }
};

const exploreWorlds = (faults: number): { states: number; runs: number; unsent: number } => {
    const seen = new Set<string>();
    const open: World[] = [createWorld(faults)];
    const counts = { states: 0, runs: 0, unsent: 0 };
    for (let world = open.pop(); world !== undefined; world = open.pop()) {
        const key = JSON.stringify(world);
        if (seen.has(key)) {
            continue;
        }
        seen.add(key);
        counts.states++;
        const sent = world.claimers.filter(claimer => claimer.hasSent).length;
        assert.ok(sent <= 1, `executed ${sent} times: ${key}`);
        assertRecordIsTrue(world);
        counts.runs += sent;
        counts.unsent += world.row?.record.state === ClaimState.NotRun ? 1 : 0;
        open.push(...listNextWorlds(world));
    }
    return counts;
};

describe("claims of one key by two requests", () => {
    for (const faults of FAULT_COUNTS) {
        it(`execute at most once in every interleaving with up to ${faults} faults`, context => {
            const counts = exploreWorlds(faults);
            context.diagnostic(`${counts.states} states explored`);
            assert.ok(counts.states > 50 * (faults + 1));
            assert.ok(counts.runs > 0, "some interleaving executes the request");
            assert.ok(counts.unsent > 0, "some interleaving records that nothing was sent");
        });
    }
});
