import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../../base/createRandom";
import { MoveState, type VersionMove } from "../../model/configuration";
import { computeAllowedRate } from "./computeAllowedRate";
import { computeEffectiveShare } from "./computeEffectiveShare";
import { FINISH_MARGIN_MS, MOVE_SHARES, MINIMUM_OBSERVATIONS, OBSERVATIONS_FOR_EARLY_STEP } from "./constants";
import { createMoveEvidence } from "./createMoveEvidence";
import { decideMoveStep } from "./decideMoveStep";
import { describeAlarm } from "./describeAlarm";
import { listOwnCounts } from "./listOwnCounts";
import { listUnseenRoutes } from "./listUnseenRoutes";
import { mergeReports } from "./mergeReports";
import { type MoveFacts, MoveStepKind } from "./moveStep";
import { recordObservation } from "./recordObservation";
import { updatePooledScores } from "./updatePooledScores";
import { type CellCounts, LoadLevel, Measure, type VersionObservation } from "./versionEvidence";

const START = 1_700_000_000_000;
const MINUTE_MS = 60_000;

const MOVE: VersionMove = {
    name: "move-1",
    serviceName: "assistant",
    fromVersion: "v1",
    toVersion: "v2",
    doneByWallMs: START + 15 * MINUTE_MS,
    state: MoveState.Moving,
    share: 0.01,
    reason: "",
    startedWallMs: START,
    steppedWallMs: START,
};

const FACTS: MoveFacts = {
    nowWallMs: START + MINUTE_MS,
    attemptsSinceStep: OBSERVATIONS_FOR_EARLY_STEP,
    oldAttemptsSinceStep: 1_000,
    unseenRoutes: [],
    supportableShare: 1,
};

function observe(fields: Partial<VersionObservation>): VersionObservation {
    return { version: "v1", route: "chat", loadLevel: LoadLevel.Low, isFailure: false, firstTokenMs: 200, ...fields };
}

function createEvidenceWithReference() {
    const evidence = createMoveEvidence(MOVE);
    const random = createRandom(3);
    for (let index = 0; index < 500; index++) {
        recordObservation(evidence, observe({ firstTokenMs: 150 + 100 * random.drawFraction(), tokenGapMs: 20 }));
    }
    return evidence;
}

describe("the sequential tests of a version move", () => {
    it("raise an alarm after two or three failures of a new version", () => {
        const evidence = createEvidenceWithReference();
        const alarms = [1, 2, 3].map(() => recordObservation(evidence, observe({ version: "v2", isFailure: true })));
        assert.equal(alarms[0], undefined);
        assert.equal(alarms[2]?.measure, Measure.Failures);
        assert.match(describeAlarm(alarms[2]!, "node-1"), /of 3 attempts failed on route chat at low load/);
    });

    it("detect a fault that begins after thousands of good answers", () => {
        const evidence = createEvidenceWithReference();
        for (let index = 0; index < 5_000; index++) {
            assert.equal(recordObservation(evidence, observe({ version: "v2" })), undefined);
        }
        let failures = 0;
        while (recordObservation(evidence, observe({ version: "v2", isFailure: true })) === undefined) {
            failures++;
            assert.ok(failures < 6);
        }
    });

    it("detect slow first tokens and slow token gaps", () => {
        for (const slow of [{ firstTokenMs: 900 }, { tokenGapMs: 60 }]) {
            const evidence = createEvidenceWithReference();
            let alarm;
            for (let index = 0; index < 40 && alarm === undefined; index++) {
                alarm = recordObservation(evidence, observe({ version: "v2", tokenGapMs: 20, ...slow }));
            }
            assert.notEqual(alarm, undefined);
        }
    });

    it("attribute a fault to its route despite good attempts on other routes", () => {
        const evidence = createEvidenceWithReference();
        let alarm;
        for (let index = 0; index < 100 && alarm === undefined; index++) {
            recordObservation(evidence, observe({ version: "v2" }));
            alarm = recordObservation(evidence, observe({ version: "v2", route: "search", isFailure: true }));
        }
        assert.equal(alarm?.route, "search");
        assert.ok((alarm?.trials ?? 0) <= 3);
    });

    it("raise no alarm for failures that affect both versions equally", () => {
        const evidence = createMoveEvidence(MOVE);
        const random = createRandom(5);
        for (let index = 0; index < 3_000; index++) {
            const version = index % 2 === 0 ? "v1" : "v2";
            const isFailure = random.drawFraction() < 0.2;
            assert.equal(recordObservation(evidence, observe({ version, isFailure })), undefined);
        }
    });

    it("raise a false alarm for at most 1 in 100 good versions over seeded runs", () => {
        let falseAlarms = 0;
        for (let seed = 1; seed <= 300; seed++) {
            const evidence = createMoveEvidence(MOVE);
            const random = createRandom(seed);
            let isAlarmed = false;
            for (let index = 0; index < 2_000 && !isAlarmed; index++) {
                const observation = observe({
                    version: random.drawFraction() < 0.5 ? "v1" : "v2",
                    isFailure: random.drawFraction() < 0.002,
                    firstTokenMs: 100 + 400 * random.drawFraction() ** 3,
                    tokenGapMs: 20 + 5 * random.drawFraction(),
                });
                isAlarmed = recordObservation(evidence, observation) !== undefined;
            }
            falseAlarms += isAlarmed ? 1 : 0;
        }
        assert.ok(falseAlarms <= 3, `${falseAlarms} of 300`);
    });

    it("detect from the combined counts of all nodes a fault that no single node detects", () => {
        const nodes = Array.from({ length: 4 }, createEvidenceWithReference);
        const alarms = nodes.map(evidence => recordObservation(evidence, observe({ version: "v2", isFailure: true })));
        assert.deepEqual(new Set(alarms), new Set([undefined]));
        const [first, ...others] = nodes;
        others.forEach((evidence, index) => first!.peerCounts.set(`n${index}`, listOwnCounts(evidence)));
        assert.equal(updatePooledScores(first!)?.isPooled, true);
    });
});

describe("computeAllowedRate", () => {
    it("is never below its floor and rises with the old version's rate", () => {
        assert.equal(computeAllowedRate(Measure.Failures, { trials: 10_000, bad: 0 }), 0.005);
        assert.ok(computeAllowedRate(Measure.Failures, { trials: 1_000, bad: 100 }) > 0.1);
        fc.assert(
            fc.property(fc.nat(1_000), fc.nat(1_000), (trials, bad) => {
                const rate = computeAllowedRate(Measure.Failures, { trials: trials + bad, bad });
                assert.ok(rate >= 0.005 && rate <= 0.9);
            }),
        );
    });
});

describe("mergeReports", () => {
    const count = fc.nat(50).chain(trials => fc.record({ trials: fc.constant(trials), bad: fc.nat(trials) }));
    const counts = fc.tuple(count, count, count).map(([failures, firstTokens, gaps]) => ({
        [Measure.Failures]: { ...failures },
        [Measure.FirstToken]: { ...firstTokens },
        [Measure.TokenGap]: { ...gaps },
    }));
    const cell = fc
        .tuple(fc.constantFrom("chat", "search"), fc.constantFrom(...Object.values(LoadLevel)), counts, counts)
        .map(([route, loadLevel, old, next]) => ({ route, loadLevel, old, next }));
    const report = fc.uniqueArray(cell, { selector: ({ route, loadLevel }) => `${route} ${loadLevel}` });
    const merge = (left: readonly CellCounts[], right: readonly CellCounts[]) => mergeReports(left, right);

    it("is commutative, associative and idempotent", () => {
        fc.assert(
            fc.property(report, report, report, (one, two, three) => {
                assert.deepEqual(merge(one, two), merge(two, one));
                assert.deepEqual(merge(merge(one, two), three), merge(one, merge(two, three)));
                assert.deepEqual(merge(merge(one, two), two), merge(one, two));
            }),
        );
    });
});

describe("listUnseenRoutes", () => {
    it("lists significant routes that have too few attempts on the new version", () => {
        const evidence = createMoveEvidence(MOVE);
        for (let index = 0; index < 100; index++) {
            recordObservation(evidence, observe({ route: index % 4 === 0 ? "search" : "chat" }));
            recordObservation(evidence, observe({ version: "v2" }));
        }
        recordObservation(evidence, observe({ route: "rare" }));
        assert.deepEqual(listUnseenRoutes(listOwnCounts(evidence)), ["search"]);
    });
});

describe("decideMoveStep", () => {
    const cases: readonly {
        name: string;
        move?: Partial<VersionMove>;
        facts?: Partial<MoveFacts>;
        kind: MoveStepKind;
    }[] = [
        { name: "rolls back on a fault", facts: { fault: "It fails." }, kind: MoveStepKind.RollBack },
        { name: "raises the share with enough evidence", kind: MoveStepKind.Raise },
        {
            name: "waits for the minimum time after a step",
            facts: { nowWallMs: START + 1_000 },
            kind: MoveStepKind.Wait,
        },
        { name: "waits for enough attempts", facts: { attemptsSinceStep: 10 }, kind: MoveStepKind.Wait },
        {
            name: "waits for attempts on significant routes",
            facts: { unseenRoutes: ["search"] },
            kind: MoveStepKind.Wait,
        },
        { name: "waits for endpoints of the new version", facts: { supportableShare: 0.01 }, kind: MoveStepKind.Wait },
        {
            name: "raises the share at its planned time with the minimum of attempts",
            facts: { attemptsSinceStep: MINIMUM_OBSERVATIONS, nowWallMs: START + 3 * MINUTE_MS },
            kind: MoveStepKind.Raise,
        },
        {
            name: "does not raise the share at its planned time with fewer attempts",
            facts: { attemptsSinceStep: MINIMUM_OBSERVATIONS - 1, nowWallMs: START + 3 * MINUTE_MS },
            kind: MoveStepKind.Wait,
        },
        {
            name: "raises the share at its planned time if the service has no traffic",
            facts: { attemptsSinceStep: 0, oldAttemptsSinceStep: 0, nowWallMs: START + 3 * MINUTE_MS },
            kind: MoveStepKind.Raise,
        },
        {
            name: "begins once an endpoint serves the new version",
            move: { startedWallMs: undefined, share: 0 },
            kind: MoveStepKind.Begin,
        },
        {
            name: "does not begin without endpoints of the new version",
            move: { startedWallMs: undefined, share: 0 },
            facts: { supportableShare: 0 },
            kind: MoveStepKind.Wait,
        },
        {
            name: "finishes at full share after half of its time",
            move: { share: 1, steppedWallMs: START + 2 * MINUTE_MS },
            facts: { nowWallMs: START + 8 * MINUTE_MS },
            kind: MoveStepKind.Finish,
        },
        {
            name: "keeps observing at full share before that",
            move: { share: 1, steppedWallMs: START + 2 * MINUTE_MS },
            facts: { nowWallMs: START + 4 * MINUTE_MS },
            kind: MoveStepKind.Wait,
        },
        {
            name: "rolls back a move that can no longer take effect by its deadline",
            move: { share: 0.5 },
            facts: { nowWallMs: MOVE.doneByWallMs - FINISH_MARGIN_MS },
            kind: MoveStepKind.RollBack,
        },
        {
            name: "rolls back a move whose deadline has passed",
            facts: { nowWallMs: MOVE.doneByWallMs + 1 },
            kind: MoveStepKind.RollBack,
        },
        { name: "does nothing for a done move", move: { state: MoveState.Done }, kind: MoveStepKind.Wait },
        {
            name: "does nothing for a rolled-back move",
            move: { state: MoveState.TakenBack },
            facts: { fault: "again" },
            kind: MoveStepKind.Wait,
        },
    ];
    for (const { name, move, facts, kind } of cases) {
        it(name, () => {
            assert.equal(decideMoveStep({ ...MOVE, ...move }, { ...FACTS, ...facts }).kind, kind);
        });
    }

    it("ends every move by its deadline, whatever the facts, if it is decided once a second", () => {
        const facts = fc.record({
            attemptsSinceStep: fc.nat(100),
            oldAttemptsSinceStep: fc.nat(100),
            unseenRoutes: fc.constantFrom<readonly string[]>([], ["search"]),
            supportableShare: fc.constantFrom(0, 0.3, 1),
        });
        const durations = fc.integer({ min: 20_000, max: 600_000 });
        fc.assert(
            fc.property(durations, fc.array(facts, { minLength: 1, maxLength: 20 }), (durationMs, series) => {
                let move: VersionMove = {
                    ...MOVE,
                    doneByWallMs: START + durationMs,
                    share: 0,
                    startedWallMs: undefined,
                };
                for (let nowWallMs = START; move.state === MoveState.Moving; nowWallMs += 1_000) {
                    assert.ok(nowWallMs < move.doneByWallMs, "the move is still in progress at its deadline");
                    const step = decideMoveStep(move, { ...series[(nowWallMs / 1_000) % series.length]!, nowWallMs });
                    assert.ok(step.kind === MoveStepKind.RollBack || step.share >= move.share);
                    move = applyStep(move, step.kind, step.share, nowWallMs);
                }
                assert.ok(move.state === MoveState.TakenBack || MOVE_SHARES.includes(move.share));
            }),
            { numRuns: 200 },
        );
    });
});

describe("computeEffectiveShare", () => {
    it("is 0 for a braked, rolled-back or overdue move and 1 for a done move", () => {
        const move = { ...MOVE, share: 0.25 };
        assert.equal(computeEffectiveShare(move, START, false), 0.25);
        assert.equal(computeEffectiveShare(move, START, true), 0);
        assert.equal(computeEffectiveShare(move, move.doneByWallMs, false), 0);
        assert.equal(computeEffectiveShare({ ...move, state: MoveState.TakenBack }, START, false), 0);
        assert.equal(computeEffectiveShare({ ...move, state: MoveState.Done }, move.doneByWallMs + 1, false), 1);
    });
});

function applyStep(move: VersionMove, kind: MoveStepKind, share: number, nowWallMs: number): VersionMove {
    const states: Partial<Record<MoveStepKind, MoveState>> = {
        [MoveStepKind.Finish]: MoveState.Done,
        [MoveStepKind.RollBack]: MoveState.TakenBack,
    };
    if (kind === MoveStepKind.Wait) {
        return move;
    }
    const startedWallMs = move.startedWallMs ?? nowWallMs;
    return { ...move, state: states[kind] ?? move.state, share, startedWallMs, steppedWallMs: nowWallMs };
}
