import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    advanceClaim,
    beginClaim,
    ClaimProcedureResult,
    type ClaimProcedure,
    ClaimStepKind,
    type TableAnswer,
    TableAnswerKind,
} from "./advanceClaim";
import { advanceSettlement, beginSettlement, type SettlementStep, SettlementStepKind } from "./advanceSettlement";
import { type ClaimRecord, ClaimState } from "./claimRecord";
import type { Settlement } from "./decideSettlement";

// Explores every interleaving of two requests that claim the same key, with crashes, lost answers, delayed writes, an
// unavailable store and the expiry of a claim, until no new state is found.

// CLAIM_EXPLORER_FAULTS=3 also explores three faults, which takes most of a minute.
const FAULT_COUNTS = [0, 1, 2, ...(process.env["CLAIM_EXPLORER_FAULTS"] === "3" ? [3] : [])];
const VALID_UNTIL_MS = 100;
const BEFORE_EXPIRY_MS = 50;
const AFTER_EXPIRY_MS = 150;

/** The stored claim and the version of its row. */
interface Row {
    readonly record: ClaimRecord;
    readonly version: number;
}

/** A conditional write: `record` replaces the row if its version is `expected`. */
interface Write {
    readonly record: ClaimRecord;
    readonly expected: number | undefined;
}

/** One of the two requests that claim the key, with its claim procedure and then its settlement. */
interface Contender {
    readonly procedure: ClaimProcedure;
    readonly settlement?: Settlement;
    /** The next step of the settlement. */
    readonly step?: SettlementStep;
    /** Whether the request was sent to an endpoint. */
    readonly hasSent: boolean;
    readonly isCrashed: boolean;
}

/** One state of the explored model. */
interface World {
    readonly row?: Row;
    /** Writes whose answer was lost and that have not reached the table yet. */
    readonly late: readonly Write[];
    readonly contenders: readonly Contender[];
    readonly nowWallMs: number;
    /** Faults that may still occur. */
    readonly faultsLeft: number;
    /** Row versions assigned so far. */
    readonly versions: number;
}

const createContender = (requestId: string): Contender => ({
    procedure: beginClaim({ bodyHash: "body", requestId, nodeId: "node", validUntilWallMs: VALID_UNTIL_MS }),
    hasSent: false,
    isCrashed: false,
});

const createWorld = (faultsLeft: number): World => ({
    late: [],
    contenders: [createContender("a"), createContender("b")],
    nowWallMs: BEFORE_EXPIRY_MS,
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
    assert.notEqual(before?.state, ClaimState.Ran, "a claim recorded as Ran is never overwritten");
    if (before?.state === ClaimState.Unknown) {
        assert.equal(after.requestId, before.requestId, "an Unknown claim is settled only by its holder");
        assert.notEqual(after.state, ClaimState.Claimed, "an Unknown claim is never claimed again");
    }
};

/** Lists every way in which the table can answer a write; each fault reduces the number of faults left. */
const listWriteAnswers = (world: World, write: Write): { world: World; answer: TableAnswer }[] => {
    const faultless = applyWrite(world, write);
    if (world.faultsLeft === 0) {
        return [faultless];
    }
    const lost: TableAnswer = { kind: TableAnswerKind.Unknown };
    const faulty = { ...world, faultsLeft: world.faultsLeft - 1 };
    return [
        faultless,
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

const replaceContender = (world: World, index: number, contender: Contender): World => ({
    ...world,
    contenders: world.contenders.map((other, position) => (position === index ? contender : other)),
});

const listClaimSteps = (world: World, index: number, contender: Contender): World[] => {
    const { step } = contender.procedure;
    if (step.kind === ClaimStepKind.End) {
        return listHolderSteps(world, index, contender);
    }
    const answers =
        step.kind === ClaimStepKind.Read
            ? listReadAnswers(world)
            : listWriteAnswers(world, { record: step.record, expected: step.version });
    return answers.map(({ world: after, answer }) =>
        replaceContender(after, index, {
            ...contender,
            procedure: advanceClaim(contender.procedure, answer, after.nowWallMs),
        }),
    );
};

const listHolderSteps = (world: World, index: number, contender: Contender): World[] => {
    const { step, claimant, hasLostAnswer } = contender.procedure;
    assert.equal(step.kind, ClaimStepKind.End);
    if (step.kind !== ClaimStepKind.End) {
        return [];
    }
    const settle = (state: Settlement["state"], hasSent: boolean): World => {
        const settlement: Settlement = { requestId: claimant.requestId, state };
        const knownRow =
            step.record === undefined || step.version === undefined
                ? undefined
                : { record: step.record, version: step.version };
        const first = beginSettlement(settlement, knownRow);
        return replaceContender(world, index, { ...contender, settlement, step: first, hasSent });
    };
    if (step.end === ClaimProcedureResult.Held) {
        return [settle(ClaimState.Ran, true), settle(ClaimState.Unknown, true), settle(ClaimState.NotRun, false)];
    }
    return step.end === ClaimProcedureResult.StoreDown && hasLostAnswer ? [settle(ClaimState.NotRun, false)] : [];
};

const listSettlementSteps = (world: World, index: number, contender: Contender): World[] => {
    const { step, settlement } = contender;
    if (settlement === undefined || step === undefined || step.kind === SettlementStepKind.Done) {
        return [];
    }
    if (step.kind === SettlementStepKind.Postponed) {
        return [replaceContender(world, index, { ...contender, step: { kind: SettlementStepKind.Read } })];
    }
    const answers =
        step.kind === SettlementStepKind.Read
            ? listReadAnswers(world)
            : listWriteAnswers(world, { record: step.record, expected: step.version });
    return answers.map(({ world: after, answer }) =>
        replaceContender(after, index, { ...contender, step: advanceSettlement(settlement, answer) }),
    );
};

const listNextWorlds = (world: World): World[] => {
    const next: World[] = [];
    world.contenders.forEach((contender, index) => {
        if (contender.isCrashed) {
            return;
        }
        next.push(
            ...(contender.settlement === undefined
                ? listClaimSteps(world, index, contender)
                : listSettlementSteps(world, index, contender)),
        );
        if (world.faultsLeft > 0) {
            const crashed = { ...contender, isCrashed: true };
            next.push(replaceContender({ ...world, faultsLeft: world.faultsLeft - 1 }, index, crashed));
        }
    });
    world.late.forEach((write, index) => {
        const late = world.late.filter((_other, position) => position !== index);
        next.push(applyWrite({ ...world, late }, write).world);
    });
    if (world.nowWallMs === BEFORE_EXPIRY_MS) {
        next.push({ ...world, nowWallMs: AFTER_EXPIRY_MS });
    }
    return next;
};

/** Asserts that the outcome recorded in the row is true of the request that it names. */
const assertRecordIsTrue = (world: World): void => {
    const record = world.row?.record;
    const holder = world.contenders.find(contender => contender.procedure.claimant.requestId === record?.requestId);
    const isSettled = record?.state === ClaimState.Ran || record?.state === ClaimState.NotRun;
    if (isSettled) {
        assert.equal(
            holder?.hasSent,
            record.state === ClaimState.Ran,
            "the recorded outcome matches whether the request was sent",
        );
        assert.equal(holder.settlement?.state, record.state, "the holder itself recorded it");
    }
};

const exploreWorlds = (faults: number): { states: number; runs: number; notRun: number } => {
    const seen = new Set<string>();
    const pending: World[] = [createWorld(faults)];
    const counts = { states: 0, runs: 0, notRun: 0 };
    for (let world = pending.pop(); world !== undefined; world = pending.pop()) {
        const key = JSON.stringify(world);
        if (seen.has(key)) {
            continue;
        }
        seen.add(key);
        counts.states++;
        const sent = world.contenders.filter(contender => contender.hasSent).length;
        assert.ok(sent <= 1, `the request was executed ${sent} times: ${key}`);
        assertRecordIsTrue(world);
        counts.runs += sent;
        counts.notRun += world.row?.record.state === ClaimState.NotRun ? 1 : 0;
        pending.push(...listNextWorlds(world));
    }
    return counts;
};

describe("two requests that claim the same key", () => {
    for (const faults of FAULT_COUNTS) {
        it(`execute at most once in every interleaving with up to ${faults} faults`, context => {
            const counts = exploreWorlds(faults);
            context.diagnostic(`${counts.states} states explored`);
            assert.ok(counts.states > 50 * (faults + 1));
            assert.ok(counts.runs > 0, "at least one interleaving executes the request");
            assert.ok(counts.notRun > 0, "at least one interleaving records that nothing was sent");
        });
    }
});
