import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { NEWS_DELAY_MAX_MS, NEWS_PERIOD_MS } from "../../decisions/relays/constants";
import { createNewsFleet, type FleetNode, type NewsFleet } from "../_testing/createNewsFleet";
import { RELAY_SILENT_MS } from "./createRelayRoster";

const CONTACT_MS = 4_000;
const LOST_SHARE = 0.2;
const SMALL = [
    { nodes: 9, failureDomains: 3, seeds: 6 },
    { nodes: 9, failureDomains: 6, seeds: 6 },
];
const ALL_SIZES = [...SMALL, { nodes: 195, failureDomains: 4, seeds: 1 }];

/** Runs a check on settled fleets; `nodes` are those that have run from the start. */
function checkFleets(
    sizes: typeof ALL_SIZES,
    check: (fleet: NewsFleet, nodes: readonly FleetNode[], seed: number) => void,
): void {
    for (const { seeds, ...size } of sizes) {
        for (let seed = 1; seed <= seeds; seed++) {
            const fleet = createNewsFleet({ ...size, seed, lostShare: LOST_SHARE });
            try {
                fleet.runMs(5_000);
                check(fleet, [...fleet.nodes.values()], seed);
            } finally {
                fleet.dispose();
            }
        }
    }
}

function listIgnorant(fleet: NewsFleet, crash: string): readonly string[] {
    return [...fleet.nodes.values()]
        .filter(node => fleet.readAgeMs(node, "p", crash) === undefined)
        .map(({ identity }) => identity.life);
}

function startAgain(fleet: NewsFleet, nodes: readonly FleetNode[], deadMs: number): readonly FleetNode[] {
    nodes.forEach(fleet.kill);
    fleet.runMs(deadMs);
    return nodes.map(({ identity }) => fleet.start(identity.port));
}

describe("evidence on crashing prompt parts", () => {
    it("takes three trips, the silence of a killed relay and some lost datagrams, which is less than contactMs", () => {
        // Its nodes notice the silence at their next report, and the new relay looks for the others in the store.
        const killedMs = RELAY_SILENT_MS + NEWS_PERIOD_MS + 125 + 50;
        const spare = Math.floor((CONTACT_MS - NEWS_DELAY_MAX_MS - killedMs) / NEWS_PERIOD_MS);
        let share = 1;
        for (let lost = 0; lost <= spare; lost++) {
            share -= ((lost + 1) * (lost + 2) * LOST_SHARE ** lost * (1 - LOST_SHARE) ** 3) / 2;
        }
        assert.ok(share < 0.0002, `${share} of the ways take more than ${spare} lost datagrams`);
    });

    // Guards against nodes that still send a crashing part on contactMs after the crash, since no one told them.
    it("is at every node within contactMs, though a relay is killed at any moment and a node restarts", () => {
        checkFleets(ALL_SIZES, (fleet, nodes, seed) => {
            const random = createRandom(seed);
            const witness = nodes[random.drawInteger(0, nodes.length - 1)];
            const relays = nodes.filter(node => node !== witness && node.news.isRelay());
            const victim = relays[random.drawInteger(0, relays.length - 1)];
            assert.ok(witness !== undefined && victim !== undefined);
            fleet.recordCrash(witness, "p", "c");
            const [killMs, deadMs] = [random.drawInteger(1, 1_500), random.drawInteger(200, 1_500)];
            fleet.runMs(killMs);
            startAgain(fleet, [victim], deadMs);
            fleet.runMs(CONTACT_MS - killMs - deadMs);
            assert.deepEqual(listIgnorant(fleet, "c"), []);
            for (const node of fleet.nodes.values()) {
                const ageMs = fleet.readAgeMs(node, "p", "c") ?? 0;
                assert.ok(ageMs > CONTACT_MS - 1_000 && ageMs <= CONTACT_MS, `${ageMs} ms`);
            }
            assert.match(JSON.stringify(witness.news.dumpState()), /"suspects":\{"p":/);
        });
    });

    // Guards against a restarted node, a relay above all, whose first requests go where the others know they must not.
    it("is at a restarted node before its first request, and lives on while one node does", () => {
        checkFleets(SMALL, (fleet, nodes) => {
            const [witness] = nodes;
            assert.ok(witness !== undefined);
            fleet.recordCrash(witness, "p", "c");
            fleet.runMs(CONTACT_MS);
            const { failureDomain } = witness.identity;
            const domain = nodes.filter(({ identity }) => identity.failureDomain === failureDomain);
            const killed = [domain.filter(({ news }) => news.isRelay()), domain];
            for (const list of killed) {
                const alive = list.map(({ identity }) => fleet.nodes.get(identity.node) ?? assert.fail(identity.node));
                const started = startAgain(fleet, alive, 400);
                fleet.runMs(2_000);
                const ignorant = started.filter(({ knownAtFirst }) => knownAtFirst?.["p"] === undefined);
                assert.deepEqual(
                    ignorant.map(({ identity }) => identity.life),
                    [],
                );
            }
        });
    });

    it("of both sides of a cut is at every node within contactMs after it healed", () => {
        checkFleets(SMALL, (fleet, nodes) => {
            const near = nodes.find(({ identity }) => identity.failureDomain === "0");
            const far = nodes.find(({ identity }) => identity.failureDomain !== "0");
            assert.ok(near !== undefined && far !== undefined);
            fleet.cut(["0"]);
            fleet.runMs(2_000);
            fleet.recordCrash(near, "p", "c-0");
            fleet.recordCrash(far, "p", "c-1");
            fleet.runMs(CONTACT_MS);
            assert.equal(fleet.readAgeMs(far, "p", "c-0"), undefined);
            fleet.cut([]);
            fleet.runMs(CONTACT_MS);
            assert.deepEqual([...listIgnorant(fleet, "c-0"), ...listIgnorant(fleet, "c-1")], []);
        });
    });

    // Guards against the part that crashes endpoints being pushed out by new parts that were there by chance.
    it("names the part of all crashes, though 27 other parts without an answer were at each of them", () => {
        checkFleets(SMALL, (fleet, nodes, seed) => {
            const random = createRandom(seed);
            for (let crash = 0; crash < 5; crash++) {
                const first = random.drawInteger(0, nodes.length - 1);
                const witnesses = [...nodes.slice(first), ...nodes.slice(0, first)];
                witnesses.slice(0, 1).forEach(node => fleet.recordCrash(node, "p", `c-${crash}`));
                for (const node of witnesses.flatMap(witness => [witness, witness, witness])) {
                    fleet.recordCrash(node, random.drawInteger(0, 999_999).toString(36), `c-${crash}`);
                }
                fleet.runMs(700);
            }
            fleet.runMs(CONTACT_MS);
            for (const node of nodes) {
                assert.equal(Object.keys(node.known["p"]?.crashes ?? {}).length, 5, node.identity.node);
            }
        });
    });
});
