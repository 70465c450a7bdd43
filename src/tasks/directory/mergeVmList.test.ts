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
    const allVms = [createVm("a"), createVm("b"), createVm("c")];

    it("keeps a VM until three consecutive lists omit it", () => {
        let state = mergeVmList(EMPTY_DIRECTORY, allVms, START_MS);
        const withoutFirst = allVms.slice(1);
        state = mergeVmList(mergeVmList(state, withoutFirst, START_MS), withoutFirst, START_MS);
        assert.equal(readState(state, "a"), VmState.Live);
        assert.equal(readState(mergeVmList(state, withoutFirst, START_MS), "a"), undefined);
        const listedAgain = mergeVmList(mergeVmList(state, allVms, START_MS), withoutFirst, START_MS);
        assert.equal(readState(listedAgain, "a"), VmState.Live);
    });

    it("removes most VMs at once only after ten consecutive lists omit them", () => {
        let state = mergeVmList(EMPTY_DIRECTORY, allVms, START_MS);
        for (let list = 0; list < 9; list++) {
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

    it("applies a notice that arrived before the VM was listed", () => {
        const notices = [{ vmId: "a", reclaimAtWallMs: START_MS + 30_000 }];
        const { state } = mergeNotices(EMPTY_DIRECTORY, notices, START_MS);
        assert.equal(readState(mergeVmList(state, [createVm("a")], START_MS), "a"), VmState.Leaving);
    });

    it("drops departures after the retention time", () => {
        const { state } = mergeNotices(EMPTY_DIRECTORY, [{ vmId: "a", incarnation: 1 }], START_MS);
        assert.equal(expireDepartures(state, START_MS + 1).departures.size, 1);
        assert.equal(expireDepartures(state, START_MS + DEPARTURE_RETENTION_MS + 1).departures.size, 0);
    });
});

describe("lists and notices in any order", () => {
    const vmIdArbitrary = fc.constantFrom("a", "b", "c");
    const listArbitrary = fc.array(
        fc.record({
            vmId: vmIdArbitrary,
            incarnation: fc.integer({ min: 1, max: 4 }),
            state: fc.constantFrom(VmState.Live, VmState.Leaving),
        }),
        { maxLength: 3 },
    );
    const eventArbitrary = fc.oneof(
        listArbitrary.map(records => ({ kind: "list" as const, records })),
        fc
            .record({ vmId: vmIdArbitrary, incarnation: fc.option(fc.integer({ min: 1, max: 4 }), { nil: undefined }) })
            .map(notice => ({ kind: "notice" as const, notice })),
    );

    it("never make a leaving incarnation live again and never lower an incarnation", () => {
        fc.assert(
            fc.property(fc.array(eventArbitrary, { maxLength: 40 }), events => {
                let state = EMPTY_DIRECTORY;
                const leavingIncarnations = new Map<string, number>();
                events.forEach((event, index) => {
                    const nowMs = START_MS + index * 1_000;
                    const before = state;
                    const vms = event.kind === "list" ? event.records : [];
                    state =
                        event.kind === "list"
                            ? mergeVmList(
                                  state,
                                  vms.map(vm => createVm(vm.vmId, vm.incarnation, vm.state)),
                                  nowMs,
                              )
                            : mergeNotices(state, [event.notice], nowMs).state;
                    for (const [vmId, { record }] of state.entries) {
                        const known = before.entries.get(vmId)?.record.incarnation ?? 0;
                        assert.ok(record.incarnation >= known, "the incarnation decreased");
                        if (record.state === VmState.Leaving) {
                            leavingIncarnations.set(
                                vmId,
                                Math.max(leavingIncarnations.get(vmId) ?? 0, record.incarnation),
                            );
                        } else {
                            assert.ok(
                                record.incarnation > (leavingIncarnations.get(vmId) ?? 0),
                                "a leaving incarnation is live again",
                            );
                        }
                    }
                });
            }),
            { seed: 4, numRuns: 500 },
        );
    });
});

describe("computePollDelay", () => {
    it("applies jitter and bounds the total poll rate of all nodes", () => {
        assert.equal(computePollDelay(500, 7, 0.5), 500);
        assert.equal(computePollDelay(500, 7, 0), 375);
        assert.equal(computePollDelay(500, 400, 0.5), 4_000);
    });
});
