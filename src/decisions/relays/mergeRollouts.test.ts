import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RolloutPhase } from "../../model/gateway";
import { EMPTY_COUNTS } from "../versions/emptyCounts";
import { type CellCounts, LoadLevel, Measure } from "../versions/versionEvidence";
import { maximizeCells, mergeRollouts, sumCells } from "./mergeRollouts";
import type { RolloutReport } from "./news";

function makeCells(trials: number): readonly CellCounts[] {
    const next = { ...EMPTY_COUNTS, [Measure.Failures]: { trials, bad: 1 } };
    return [{ route: "r", loadLevel: LoadLevel.Low, old: EMPTY_COUNTS, next }];
}
function makeReport(changes: Partial<RolloutReport> = {}): RolloutReport {
    return { order: 4, phase: RolloutPhase.Trial, cells: makeCells(3), ...changes };
}
const readTrials = (report: RolloutReport | undefined) => report?.cells[0]?.next[Measure.Failures].trials;

describe("reports on moves", () => {
    it("are summed over nodes, and taken once of relays that know the same nodes", () => {
        const list = [{ chat: makeReport() }, { chat: makeReport({ cells: makeCells(5) }) }];
        assert.equal(readTrials(mergeRollouts(list, sumCells)["chat"]), 8);
        assert.equal(readTrials(mergeRollouts(list, maximizeCells)["chat"]), 5);
    });

    // Guards against: a rollback is forgotten because other nodes still report a trial.
    it("keep the phase that has advanced furthest, whatever the order of reports", () => {
        const list = [{ chat: makeReport({ phase: RolloutPhase.RolledBack, cells: [] }) }, { chat: makeReport() }];
        assert.equal(mergeRollouts(list, sumCells)["chat"]?.phase, RolloutPhase.RolledBack);
        assert.equal(mergeRollouts([...list].reverse(), sumCells)["chat"]?.phase, RolloutPhase.RolledBack);
    });

    // Guards against: what nodes send of moves grows with the number of nodes.
    it("are as long for 400 nodes as for one", () => {
        const many = mergeRollouts(
            Array.from({ length: 400 }, () => ({ chat: makeReport() })),
            sumCells,
        );
        assert.deepEqual([many["chat"]?.cells.length, readTrials(many["chat"])], [1, 1_200]);
    });

    it("of an earlier order count no more", () => {
        const list = [{ chat: makeReport({ order: 3, phase: RolloutPhase.RolledBack }) }, { chat: makeReport() }];
        for (const reports of [list, [...list].reverse()]) {
            const { order, phase } = mergeRollouts(reports, sumCells)["chat"] ?? makeReport({ order: 0 });
            assert.deepEqual([order, phase], [4, RolloutPhase.Trial]);
        }
    });
});
