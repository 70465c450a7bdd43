import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MoveState, ServiceKind, type VersionMove } from "../../model/configuration";
import { VmState } from "../../model/endpoint";
import { buildOfferId } from "./buildGroupId";
import {
    DEMAND_HEADROOM,
    INITIAL_REFUSAL_BACKOFF_MS,
    MAXIMUM_REFUSAL_BACKOFF_MS,
    PREPARATION_LEAD_MS,
    RECLAIM_WAVE_BACKOFF_MS,
} from "./constants";
import { EMPTY_DEMAND_HISTORY, type DemandHistory } from "./demandHistory";
import { estimateDemand } from "./estimateDemand";
import { EMPTY_FLEET_STATE, type FleetState, type PendingStart } from "./fleetState";
import { VmRole } from "../../model/endpoint";
import { listVersionDemands } from "./listVersionDemands";
import { recordDemandSample } from "./recordDemandSample";
import { listRefusedOffers, recordRefusal, recordStartAccepted, recordReclaimWaves } from "./recordRefusal";

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
/** A Monday. */
const MONDAY_MS = Date.UTC(2026, 5, 1);
const HEADROOM_FACTOR = 1 + DEMAND_HEADROOM;

function recordDays(days: number, readUnits: (wallMs: number) => number): { history: DemandHistory; writes: number } {
    let history: DemandHistory = EMPTY_DEMAND_HISTORY;
    let writes = 0;
    for (let wallMs = MONDAY_MS; wallMs < MONDAY_MS + days * DAY_MS; wallMs += HOUR_MS / 4) {
        const next = recordDemandSample(history, readUnits(wallMs), wallMs);
        writes += next.weekHours === history.weekHours ? 0 : 1;
        history = next;
    }
    return { history, writes };
}

describe("recorded demand", () => {
    it("is prepared for ahead of a peak that recurs each week", () => {
        const isPeakHour = (wallMs: number) => new Date(wallMs).getUTCHours() === 6;
        const { history } = recordDays(14, wallMs => (isPeakHour(wallMs) ? 500 : 20));
        const peakMs = MONDAY_MS + 14 * DAY_MS + 6 * HOUR_MS;
        assert.equal(estimateDemand(history, 20, peakMs - PREPARATION_LEAD_MS).unitsPerSecond, 500 * HEADROOM_FACTOR);
        assert.match(estimateDemand(history, 20, peakMs - PREPARATION_LEAD_MS).reason, /Mon 06:00 UTC of the week/);
        assert.equal(
            estimateDemand(history, 20, peakMs - PREPARATION_LEAD_MS - 1_000).unitsPerSecond,
            20 * HEADROOM_FACTOR,
        );
    });

    it("is prepared for on the last day of a month, also of a shorter month and on another weekday", () => {
        const isLastDay = (wallMs: number) => new Date(wallMs + DAY_MS).getUTCDate() === 1;
        const isWorkingHour = (wallMs: number) =>
            new Date(wallMs).getUTCHours() >= 8 && new Date(wallMs).getUTCHours() < 17;
        const { history } = recordDays(58, wallMs => (isLastDay(wallMs) ? 10 : 1) * (isWorkingHour(wallMs) ? 30 : 3));
        const lastDayMs = Date.UTC(2026, 7, 31, 10);
        assert.ok(estimateDemand(history, 30, lastDayMs).unitsPerSecond > 200);
        assert.ok(estimateDemand(history, 30, lastDayMs - 4 * DAY_MS).unitsPerSecond < 60);
    });

    it("takes at most one write per hour", () => {
        const { writes } = recordDays(7, () => 5);
        assert.equal(writes, 7 * 24 - 1);
    });

    it("follows the current demand when it exceeds all recorded peaks", () => {
        const { history } = recordDays(7, () => 5);
        assert.equal(estimateDemand(history, 90, MONDAY_MS + 8 * DAY_MS).unitsPerSecond, 90 * HEADROOM_FACTOR);
    });

    it("is not changed by samples from before the current hour, after the clock was set back", () => {
        const { history } = recordDays(2, () => 5);
        assert.equal(recordDemandSample(history, 1_000, MONDAY_MS), history);
    });
});

describe("the demand for the versions of a service", () => {
    const service = { name: "assistant", kind: ServiceKind.Model, version: "v1" };
    const move: VersionMove = {
        name: "m",
        serviceName: "assistant",
        fromVersion: "v1",
        toVersion: "v2",
        doneByWallMs: MONDAY_MS + HOUR_MS,
        state: MoveState.Moving,
        share: 0.1,
        reason: "",
        startedWallMs: MONDAY_MS,
    };
    const list = (moves: readonly VersionMove[], nowWallMs = MONDAY_MS) =>
        listVersionDemands({
            service,
            moves,
            estimate: { unitsPerSecond: 100, reason: "" },
            targets: [],
            nowWallMs,
        }).map(demand => [demand.version, Math.round(demand.unitsPerSecond)]);
    const CASES = [
        { name: "only the current version's without a version move", moves: [], nowMs: 0, expected: [["v1", 100]] },
        {
            name: "all of it for the old version and a part of it for the new one",
            moves: [move],
            nowMs: 0,
            expected: [
                ["v1", 100],
                ["v2", 30],
            ],
        },
        {
            name: "all of it for both versions in the second half of the move",
            moves: [move],
            nowMs: HOUR_MS / 2,
            expected: [
                ["v1", 100],
                ["v2", 100],
            ],
        },
        {
            name: "only the old version's after a move was rolled back",
            moves: [{ ...move, state: MoveState.TakenBack }],
            nowMs: 0,
            expected: [["v1", 100]],
        },
    ];
    for (const { name, moves, nowMs, expected } of CASES) {
        it(`is ${name}`, () => assert.deepEqual(list(moves, MONDAY_MS + nowMs), expected));
    }
});

describe("refused starts and reclaim waves", () => {
    const start: PendingStart = {
        serviceName: "assistant",
        version: "v1",
        region: "north",
        failureDomain: "hobart",
        machineClass: "gpu-a",
        isReclaimable: true,
        role: VmRole.ModelRunner,
        token: "t",
        slot: 0,
        orderedAtWallMs: 0,
        sentAtWallMs: 0,
    };
    const offerId = buildOfferId(start);
    const state: FleetState = { ...EMPTY_FLEET_STATE, starts: [start] };

    it("put an offer into backoff that doubles up to a limit; refusals during the backoff count as one", () => {
        let current = recordRefusal(state, start, 0);
        assert.deepEqual(current.starts, []);
        assert.equal(listRefusedOffers(current, INITIAL_REFUSAL_BACKOFF_MS - 1).has(offerId), true);
        assert.equal(listRefusedOffers(current, INITIAL_REFUSAL_BACKOFF_MS).has(offerId), false);
        assert.equal(recordRefusal(current, start, 1).refusals[offerId]?.count, 1);
        for (let round = 0; round < 12; round++) {
            const untilWallMs = current.refusals[offerId]!.untilWallMs;
            current = recordRefusal(current, start, untilWallMs);
            assert.ok(current.refusals[offerId]!.untilWallMs - untilWallMs <= MAXIMUM_REFUSAL_BACKOFF_MS);
        }
        assert.equal(current.refusals[offerId]!.count, 13);
    });

    it("clear the backoff once a start is accepted", () => {
        const refused = { ...recordRefusal(state, start, 0), starts: [start] };
        const started = recordStartAccepted(refused, start, "vm-1");
        assert.deepEqual(started.refusals, {});
        assert.equal(started.starts[0]?.vmId, "vm-1");
    });

    it("put an offer into backoff when most of its VMs are reclaimed at once, but not when they are drained", () => {
        const vm = { ...start, address: "127.0.0.1", port: 1, incarnation: 1 };
        const vms = [0, 1, 2].map(index => ({
            ...vm,
            vmId: `vm-${index}`,
            state: index < 2 ? VmState.Leaving : VmState.Live,
        }));
        assert.equal(
            listRefusedOffers(recordReclaimWaves(EMPTY_FLEET_STATE, vms, 0), RECLAIM_WAVE_BACKOFF_MS - 1).has(offerId),
            true,
        );
        const draining = { ...EMPTY_FLEET_STATE, stops: [{ vmId: "vm-0", stopAtWallMs: 0, sentAtWallMs: 0 }] };
        assert.equal(listRefusedOffers(recordReclaimWaves(draining, vms, 0), 1).size, 0);
    });
});
