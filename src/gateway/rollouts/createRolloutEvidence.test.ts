import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ALL_ROUTES, listMissingEvidence } from "../../decisions/versions/listMissingEvidence";
import { Measure } from "../../decisions/versions/versionEvidence";
import { createRolloutEvidence, type RolloutEvidence, type VersionAttempt } from "./createRolloutEvidence";

const ATTEMPT: VersionAttempt = { route: "r", isNewVersion: false, hasFailed: false, slowness: 1 };

function record(evidence: RolloutEvidence, count: number, changes: Partial<VersionAttempt>) {
    return Array.from({ length: count }, () => evidence.recordAttempt({ ...ATTEMPT, ...changes }));
}
const findCell = (evidence: RolloutEvidence, route: string) => evidence.listOwn().find(cell => cell.route === route);

describe("the attempts at both versions", () => {
    it("are counted for their route and for all routes", () => {
        const evidence = createRolloutEvidence("chat");
        record(evidence, 3, {});
        record(evidence, 2, { route: "s", isNewVersion: true, hasFailed: true });
        assert.equal(findCell(evidence, "r")?.old[Measure.Failures].trials, 3);
        assert.equal(findCell(evidence, ALL_ROUTES)?.next[Measure.Failures].bad, 2);
    });

    it("raise an alarm by the counts of the fleet, of which each node has seen little", () => {
        const whole = createRolloutEvidence("chat");
        record(whole, 200, {});
        record(whole, 4, { isNewVersion: true, hasFailed: true });
        const node = createRolloutEvidence("chat");
        record(node, 1, {});
        assert.notEqual(node.mergeFleet(whole.listOwn()), undefined);
    });

    it("raise an alarm once answers are several times slower, however loaded the old endpoints are", () => {
        const evidence = createRolloutEvidence("chat");
        record(evidence, 60, { slowness: 1.6 });
        const alarms = record(evidence, 20, { isNewVersion: true, slowness: 8 });
        assert.ok(alarms.some(alarm => alarm?.measure === Measure.FirstToken));
        const sound = createRolloutEvidence("chat");
        record(sound, 60, { slowness: 1.6 });
        assert.ok(record(sound, 200, { isNewVersion: true, slowness: 1.6 }).every(alarm => alarm === undefined));
    });

    // Guards against: a version that is slow in half of its answers looks good beside an old one in trouble, and is completed.
    it("prove nothing for it though a fifth of the old version's answers is late for other reasons", () => {
        const evidence = createRolloutEvidence("chat");
        for (let index = 0; index < 100; index++) {
            record(evidence, 1, { slowness: index % 5 === 0 ? 9 : 1 });
        }
        for (let index = 0; index < 40; index++) {
            record(evidence, 1, { isNewVersion: true, slowness: index % 2 === 0 ? 8 : 1 });
        }
        assert.notDeepEqual(listMissingEvidence(evidence.listOwn()), []);
    });

    // Guards against: memory and news that grow with each route that a configuration ever had.
    it("are counted by route for a bounded number of routes", () => {
        const evidence = createRolloutEvidence("chat");
        for (let route = 0; route < 500; route++) {
            record(evidence, 1, { route: `r-${route}` });
        }
        assert.equal(evidence.listOwn().length, 64);
        assert.equal(findCell(evidence, ALL_ROUTES)?.old[Measure.Failures].trials, 500);
        evidence.reset();
        record(evidence, 1, {});
        evidence.reset();
        record(evidence, 1, {});
        assert.equal(evidence.listOwn().length, 2);
    });
});
