import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import { makeReport } from "../../decisions/relays/_testing/makeReport";
import { createRelayRoster } from "./createRelayRoster";

const MEMBERS = Array.from({ length: 8 }, (_unused, index) => makeReport(`west-${index}`));

/** Creates the roster of a member that is no relay. */
function createRoster() {
    const clock = createManualClock();
    const log = createLog({ write: () => undefined });
    const probe = createRelayRoster(makeReport("west-0"), clock, log);
    probe.addMembers(MEMBERS);
    const relays = probe.listRelays().map(({ node }) => node);
    const self = MEMBERS.find(({ node }) => !relays.includes(node)) ?? makeReport("west-0");
    const roster = createRelayRoster(self, clock, log);
    roster.addMembers(MEMBERS);
    const listNames = () => roster.replaceSilentRelay().map(({ node }) => node);
    return { clock, roster, relays, listNames };
}

describe("the relays of a node", () => {
    it("are the same ones for all members, and stay while the first sends views", () => {
        const { clock, roster, relays, listNames } = createRoster();
        for (let round = 0; round < 20; round++) {
            assert.deepEqual(listNames(), relays);
            clock.advanceMs(250);
            roster.recordView(relays[0] ?? "");
        }
    });

    it("change when the first falls silent, and change back when it is heard again", () => {
        const { clock, roster, relays, listNames } = createRoster();
        listNames();
        clock.advanceMs(850);
        assert.equal(listNames()[0], relays[1]);
        roster.recordLife(relays[0] ?? "");
        assert.equal(listNames()[0], relays[0]);
    });

    // Guards against: a node that stood still, or could not open its port, takes its sound relay for silent.
    it("stay when this node itself heard nobody for a while, and change if the first is silent after it", () => {
        const { clock, roster, relays, listNames } = createRoster();
        listNames();
        clock.advanceMs(5_000);
        roster.recordStandstill(5_000);
        assert.equal(listNames()[0], relays[0]);
        clock.advanceMs(850);
        assert.equal(listNames()[0], relays[1]);
    });

    // Guards against: a node that often stands still for a moment never replaces a relay that is gone.
    it("change soon after the first falls silent, although this node often stands still for a moment", () => {
        const { clock, roster, relays, listNames } = createRoster();
        listNames();
        let heardMs = 0;
        for (let round = 0; heardMs < 850; round++) {
            const isGap = round % 3 === 2;
            clock.advanceMs(isGap ? 520 : 250);
            roster.recordStandstill(isGap ? 270 : 0);
            heardMs += 250;
            if (heardMs < 800) {
                assert.equal(listNames()[0], relays[0]);
            }
        }
        assert.equal(listNames()[0], relays[1]);
    });

    it("are this node alone once nobody lists the others any more", () => {
        const { clock, listNames } = createRoster();
        clock.advanceMs(9_500);
        assert.equal(listNames().length, 1);
    });

    it("are never nodes of another failure domain", () => {
        const { roster } = createRoster();
        roster.addMembers([makeReport("east-1", { failureDomain: "east", capacity: 1_000 })]);
        assert.ok(roster.listRelays().every(({ failureDomain }) => failureDomain === "west"));
    });
});
