import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { computePollDelay } from "./computePollDelay";
import { DEPARTURE_RETENTION_MS } from "./constants";
import { type DirectoryState, EMPTY_DIRECTORY } from "./directoryState";
import { expireDepartures } from "./expireDepartures";
import { mergeNotices } from "./mergeNotices";
import { mergeVmList } from "./mergeVmList";

const START_MS = 1_700_000_000_000;

function createVm(vmId: string, incarnation = 1, state = VmState.Live): VmRecord {
    const place = { region: "hobart", failureDomain: "hobart-a", address: "127.0.0.1", port: 1 };
    return { vmId, incarnation, state, ...place, role: VmRole.ModelRunner, machineClass: "m", isReclaimable: true };
}

function readState(state: DirectoryState, vmId: string): VmState | undefined {
    return state.entries.get(vmId)?.record.state;
}

describe("mergeVmList", () => {
    const both = [createVm("a"), createVm("b"), createVm("c")];

    it("keeps a VM until three lists in a row lack it", () => {
        let state = mergeVmList(EMPTY_DIRECTORY, both, START_MS);
        const shorter = both.slice(1);
        state = mergeVmList(mergeVmList(state, shorter, START_MS), shorter, START_MS);
        assert.equal(readState(state, "a"), VmState.Live);
        assert.equal(readState(mergeVmList(state, shorter, START_MS), "a"), undefined);
        const seenAgain = mergeVmList(mergeVmList(state, both, START_MS), shorter, START_MS);
        assert.equal(readState(seenAgain, "a"), VmState.Live);
    });

    it("takes ten lists to believe that most VMs are gone", () => {
        let state = mergeVmList(EMPTY_DIRECTORY, both, START_MS);
        for (let lists = 0; lists < 9; lists++) {
            state = mergeVmList(state, [], START_MS);
        }
        assert.equal(state.entries.size, 3);
        assert.equal(mergeVmList(state, [], START_MS).entries.size, 0);
    });

    it("ignores a record of an older incarnation", () => {
        const state = mergeVmList(EMPTY_DIRECTORY, [createVm("a", 3)], START_MS);
        const merged = mergeVmList(state, [createVm("a", 2, VmState.Leaving)], START_MS);
        assert.equal(merged.entries.get("a")?.record.incarnation, 3);
        assert.equal(readState(merged, "a"), VmState.Live);
    });

    it("applies a notice that came before the VM was listed", () => {
        const notices = [{ vmId: "a", reclaimAtWallMs: START_MS + 30_000 }];
        const { state } = mergeNotices(EMPTY_DIRECTORY, notices, START_MS);
        assert.equal(readState(mergeVmList(state, [createVm("a")], START_MS), "a"), VmState.Leaving);
    });

    it("forgets departures in the end", () => {
        const { state } = mergeNotices(EMPTY_DIRECTORY, [{ vmId: "a", incarnation: 1 }], START_MS);
        assert.equal(expireDepartures(state, START_MS + 1).departures.size, 1);
        assert.equal(expireDepartures(state, START_MS + DEPARTURE_RETENTION_MS + 1).departures.size, 0);
    });
});

describe("any order of lists and notices", () => {
    const vmIds = fc.constantFrom("a", "b", "c");
    const list = fc.array(
        fc.record({
            vmId: vmIds,
            incarnation: fc.integer({ min: 1, max: 4 }),
            state: fc.constantFrom(VmState.Live, VmState.Leaving),
        }),
        { maxLength: 3 },
    );
    const event = fc.oneof(
        list.map(records => ({ kind: "list" as const, records })),
        fc
            .record({ vmId: vmIds, incarnation: fc.option(fc.integer({ min: 1, max: 4 }), { nil: undefined }) })
            .map(notice => ({ kind: "notice" as const, notice })),
    );

    it("never makes a leaving incarnation live again, nor an incarnation fall", () => {
        fc.assert(
            fc.property(fc.array(event, { maxLength: 40 }), events => {
                let state = EMPTY_DIRECTORY;
                const left = new Map<string, number>();
                events.forEach((next, index) => {
                    const nowMs = START_MS + index * 1_000;
                    const before = state;
                    const vms = next.kind === "list" ? next.records : [];
                    state =
                        next.kind === "list"
                            ? mergeVmList(
                                  state,
                                  vms.map(vm => createVm(vm.vmId, vm.incarnation, vm.state)),
                                  nowMs,
                              )
                            : mergeNotices(state, [next.notice], nowMs).state;
                    for (const [vmId, { record }] of state.entries) {
                        const known = before.entries.get(vmId)?.record.incarnation ?? 0;
                        assert.ok(record.incarnation >= known, "an incarnation fell");
                        if (record.state === VmState.Leaving) {
                            left.set(vmId, Math.max(left.get(vmId) ?? 0, record.incarnation));
                        } else {
                            assert.ok(record.incarnation > (left.get(vmId) ?? 0), "a leaving VM came back");
                        }
                    }
                });
            }),
            { seed: 4, numRuns: 500 },
        );
    });
});

describe("computePollDelay", () => {
    it("spreads polls and bounds those of all nodes together", () => {
        assert.equal(computePollDelay(500, 7, 0.5), 500);
        assert.equal(computePollDelay(500, 7, 0), 375);
        assert.equal(computePollDelay(500, 400, 0.5), 4_000);
    });
});
