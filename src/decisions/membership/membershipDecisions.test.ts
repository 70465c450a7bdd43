import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ExchangeTopic } from "../../nodes/nodeExchange";
import type { Entry } from "../../nodes/nodeMessages";
import { advanceMembership, findOutageScope, isOutdatedEntry, OutageScope } from "./advanceMembership";
import { encodeApplied, mergeApplied, recordRevision } from "./appliedRevisions";
import { chooseNeighbours } from "./chooseNeighbours";
import {
    DOMAIN_SUSPICION_TIMEOUT_MS,
    MAXIMUM_ENTRIES_BYTES,
    REGION_SUSPICION_TIMEOUT_MS,
    SEND_BYTES_PER_SECOND,
    SUSPICION_TIMEOUT_MS,
    TOMBSTONE_LIFETIME_MS,
} from "./constants";
import { collectEntries, compareSums, computeDetail, computeDigest } from "./digests";
import { type Knowledge, mergeEntries } from "./entries";
import { buildMemberEntry, type Member, MemberCondition } from "./member";
import {
    createMembershipState,
    leaveMembership,
    listRoster,
    type MembershipState,
    receiveEntries,
    setMemberCondition,
} from "./membershipState";
import { pickEntries, queueEntries } from "./pickEntries";
import { chargeBudget, refreshBudget } from "./sendBudget";

const infoOf = (region: string, failureDomain = region) => ({
    address: "10.0.0.1",
    port: 1,
    region,
    failureDomain,
    processNumber: 1,
});
const memberOf = (
    nodeId: string,
    region: string,
    condition = MemberCondition.Alive,
    failureDomain = region,
): Member => ({
    nodeId,
    info: infoOf(region, failureDomain),
    incarnation: 5,
    condition,
    sinceMs: 0,
});
const createState = (members: readonly Member[]): MembershipState =>
    receiveEntries(createMembershipState("self", infoOf("home"), 1, 0).state, members.map(buildMemberEntry), 0).state;
const tick = (state: MembershipState, nowMs: number, gone: readonly string[] = []) =>
    advanceMembership(state, { nowMs, wallMs: nowMs, goneNodeIds: new Set(gone) });
const tickTo = (state: MembershipState, untilMs: number) => {
    let current = state;
    for (let nowMs = state.tickedAtMs + 700; nowMs <= untilMs; nowMs += 700) {
        current = tick(current, nowMs).state;
    }
    return current;
};

const entryArbitrary: fc.Arbitrary<Entry> = fc.record({
    topic: fc.constantFrom(...Object.values(ExchangeTopic)),
    origin: fc.constantFrom("a", "b"),
    key: fc.constantFrom("k", "l"),
    stamp: fc.integer({ min: 1, max: 4 }),
    payload: fc.constantFrom(Buffer.from("x"), Buffer.from("y")),
});
const entriesOf = (knowledge: Knowledge) =>
    [...knowledge.entries()]
        .sort(([left], [right]) => (left < right ? -1 : 1))
        .map(([, { entry }]) => ({ ...entry, payload: Buffer.from(entry.payload).toString() }));
const mergeAll = (...lists: readonly (readonly Entry[])[]) =>
    lists.reduce((known, list) => mergeEntries(known, list, 0).knowledge, new Map() as Knowledge);

describe("merging entries", () => {
    it("is commutative, associative and idempotent", () => {
        const list = fc.array(entryArbitrary, { maxLength: 8 });
        fc.assert(
            fc.property(list, list, list, (first, second, third) => {
                const all = entriesOf(mergeAll(first, second, third));
                assert.deepEqual(entriesOf(mergeAll(third, first, second)), all);
                assert.deepEqual(entriesOf(mergeAll([...second, ...third], first)), all);
                assert.deepEqual(entriesOf(mergeAll(first, first, second, third, second)), all);
            }),
            { seed: 3, numRuns: 300 },
        );
    });

    it("repairs the differences that digests find, so that both nodes hold the same entries", () => {
        const digested = entryArbitrary.filter(entry => entry.topic === ExchangeTopic.Brake);
        fc.assert(
            fc.property(fc.array(digested), fc.array(digested), (left, right) => {
                const [mine, theirs] = [mergeAll(left), mergeAll(right)];
                const groups = compareSums(computeDigest(mine), computeDigest(theirs));
                const found = groups.flatMap(group =>
                    collectEntries(mine, group, compareSums(computeDetail(mine, group), computeDetail(theirs, group))),
                );
                const repaired = mergeEntries(theirs, found, 0).knowledge;
                assert.deepEqual(entriesOf(repaired), entriesOf(mergeAll(left, right)));
            }),
            { seed: 4, numRuns: 300 },
        );
    });
});

describe("a member's condition", () => {
    it("becomes suspect before dead, and a higher incarnation revives it", () => {
        const suspected = setMemberCondition(
            createState([memberOf("b", "far")]),
            "b",
            MemberCondition.Suspect,
            0,
        ).state;
        assert.equal(
            tickTo(suspected, SUSPICION_TIMEOUT_MS - 700).members.get("b")?.condition,
            MemberCondition.Suspect,
        );
        const dead = tickTo(suspected, SUSPICION_TIMEOUT_MS + 700);
        assert.equal(dead.members.get("b")?.condition, MemberCondition.Dead);
        const back = { ...memberOf("b", "far"), incarnation: 6 };
        const revived = receiveEntries(dead, [buildMemberEntry(back)], 9_000).state;
        assert.equal(revived.members.get("b")?.condition, MemberCondition.Alive);
    });

    it("is refuted by the member itself, even if an earlier process used a higher incarnation", () => {
        const state = createState([]);
        const predecessor = { ...memberOf("self", "home"), incarnation: 900 };
        const { state: after, fresh } = receiveEntries(state, [buildMemberEntry(predecessor)], 0);
        assert.equal(after.members.get("self")?.incarnation, 901);
        assert.equal(after.members.get("self")?.info.processNumber, 1);
        assert.equal(fresh.length, 1);
    });

    it("stays left for a node that has left, even when others declare it dead", () => {
        const leaving = leaveMembership(createState([]), 0).state;
        const deathEntry = buildMemberEntry({ ...memberOf("self", "home", MemberCondition.Dead), incarnation: 3 });
        assert.equal(
            receiveEntries(leaving, [deathEntry], 1).state.members.get("self")?.condition,
            MemberCondition.Left,
        );
    });

    it("stays suspect after a pause of this node that is longer than the suspicion timeout", () => {
        const suspected = setMemberCondition(
            createState([memberOf("b", "far")]),
            "b",
            MemberCondition.Suspect,
            0,
        ).state;
        const resumed = tick(suspected, 60_000).state;
        assert.equal(resumed.members.get("b")?.condition, MemberCondition.Suspect);
    });

    it("is removed together with the member after the tombstone lifetime", () => {
        const dead = setMemberCondition(createState([memberOf("b", "far")]), "b", MemberCondition.Dead, 0).state;
        assert.ok(tick(dead, TOMBSTONE_LIFETIME_MS).state.members.has("b"));
        assert.ok(!tick(dead, TOMBSTONE_LIFETIME_MS + 1).state.members.has("b"));
    });

    it("becomes dead immediately when it disappears from the platform's list", () => {
        const suspected = setMemberCondition(
            createState([memberOf("b", "far")]),
            "b",
            MemberCondition.Suspect,
            0,
        ).state;
        assert.equal(tick(suspected, 700, ["b"]).state.members.get("b")?.condition, MemberCondition.Dead);
    });
});

describe("an outage of several members", () => {
    const suspect = MemberCondition.Suspect;
    const home = ["h1", "h2", "h3", "h4", "h5", "h6", "h7"].map(nodeId => memberOf(nodeId, "home"));
    const cases = [
        {
            name: "one member of a failure domain",
            lost: [memberOf("a", "far", suspect), memberOf("b", "far"), memberOf("c", "far")],
            scope: OutageScope.Member,
            timeoutMs: SUSPICION_TIMEOUT_MS,
        },
        {
            name: "a whole failure domain of a region",
            lost: [
                memberOf("a", "far", suspect, "far-1"),
                memberOf("b", "far", suspect, "far-1"),
                memberOf("c", "far", MemberCondition.Alive, "far-2"),
                memberOf("d", "far", MemberCondition.Alive, "far-2"),
            ],
            scope: OutageScope.FailureDomain,
            timeoutMs: DOMAIN_SUSPICION_TIMEOUT_MS,
        },
        {
            name: "a whole region",
            lost: [
                memberOf("a", "far", suspect, "far-1"),
                memberOf("b", "far", suspect, "far-2"),
                memberOf("c", "far", suspect, "far-3"),
            ],
            scope: OutageScope.Region,
            timeoutMs: REGION_SUSPICION_TIMEOUT_MS,
        },
        {
            name: "most of all nodes",
            lost: "abcdefghij".split("").map(nodeId => memberOf(nodeId, `far-${nodeId}`, suspect)),
            scope: OutageScope.Majority,
            timeoutMs: REGION_SUSPICION_TIMEOUT_MS,
        },
    ];
    for (const { name, lost, scope, timeoutMs } of cases) {
        it(`has the scope ${scope} and its suspicion timeout: ${name}`, () => {
            const roster = [...home, ...lost];
            assert.equal(findOutageScope(lost[0]!, roster), scope);
            const state = createState(roster);
            assert.equal(tickTo(state, timeoutMs - 1_400).members.get("a")?.condition, MemberCondition.Suspect);
            assert.equal(tickTo(state, timeoutMs + 700).members.get("a")?.condition, MemberCondition.Dead);
        });
    }
});

describe("neighbours", () => {
    const roster = Array.from({ length: 60 }, (_unused, index) => memberOf(`n${index}`, `region-${index % 3}`));
    it("are few, and every node is the neighbour of one to four others", () => {
        const watched = new Map<string, number>();
        for (const self of roster) {
            const neighbours = chooseNeighbours(self, roster);
            assert.ok(neighbours.length >= 2 && neighbours.length <= 4);
            neighbours.forEach(({ nodeId }) => watched.set(nodeId, (watched.get(nodeId) ?? 0) + 1));
        }
        assert.ok(roster.every(({ nodeId }) => (watched.get(nodeId) ?? 0) >= 1 && (watched.get(nodeId) ?? 0) <= 4));
    });

    it("connect every node within six steps", () => {
        let reached = new Set(["n0"]);
        for (let step = 0; step < 6; step++) {
            const next = roster
                .filter(({ nodeId }) => reached.has(nodeId))
                .flatMap(self => chooseNeighbours(self, roster));
            reached = new Set([...reached, ...next.map(member => member.nodeId)]);
        }
        assert.equal(reached.size, 60);
    });
});

describe("the entries of a message", () => {
    const entryOf = (topic: ExchangeTopic, key: string, bytes = 50): Entry => ({
        topic,
        origin: "self",
        key,
        stamp: 1,
        payload: Buffer.alloc(bytes),
    });
    it("start with the urgent ones, fit the given size, and are each sent a bounded number of times", () => {
        const load = Array.from({ length: 30 }, (_unused, index) => entryOf(ExchangeTopic.LoadDigest, `${index}`));
        let pending = queueEntries(new Map(), [...load, entryOf(ExchangeTopic.Brake, "move")], 100);
        const first = pickEntries(pending, [], 300);
        assert.equal(first.entries[0]?.topic, ExchangeTopic.Brake);
        assert.ok(first.entries.length <= 4);
        let messages = 0;
        for (; pending.size > 0 && messages < 1_000; messages++) {
            pending = pickEntries(pending, [], MAXIMUM_ENTRIES_BYTES).pending;
        }
        assert.ok(messages < 100);
    });

    it("stay within the send budget over time", () => {
        let budget = { bytes: 0, updatedAtMs: 0 };
        let sent = 0;
        for (let nowMs = 0; nowMs <= 60_000; nowMs += 100) {
            budget = refreshBudget(budget, nowMs);
            while (budget.bytes >= 500) {
                budget = chargeBudget(budget, 500);
                sent += 500;
            }
        }
        assert.ok(sent <= 60 * SEND_BYTES_PER_SECOND);
    });

    it("become outdated after the lifetime of their topic if it is covered by digests", () => {
        const brake = entryOf(ExchangeTopic.Brake, "move");
        assert.ok(!isOutdatedEntry(brake, 172_800_000));
        assert.ok(isOutdatedEntry(brake, 172_800_002));
        assert.ok(!isOutdatedEntry({ ...brake, topic: "member" }, 1e15));
    });
});

describe("applied revisions", () => {
    it("are encoded in one bit per node and merge to the newest known revision of each node", () => {
        const nodeIds = Array.from({ length: 20 }, (_unused, index) => `n${String(index).padStart(2, "0")}`);
        const revisions = fc.array(fc.nat({ max: 4 }), { minLength: 20, maxLength: 20 });
        const toMap = (list: readonly number[]) => new Map(nodeIds.map((nodeId, index) => [nodeId, list[index]!]));
        fc.assert(
            fc.property(revisions, revisions, fc.integer({ min: 1, max: 4 }), (left, right, revision) => {
                const merged = mergeApplied(
                    toMap(left),
                    nodeIds,
                    revision,
                    encodeApplied(toMap(right), nodeIds, revision),
                );
                nodeIds.forEach((nodeId, index) => {
                    const reported = right[index]! >= revision ? revision : 0;
                    assert.equal(merged.get(nodeId), Math.max(left[index]!, reported));
                });
            }),
            { seed: 8, numRuns: 200 },
        );
        assert.equal(recordRevision(new Map([["a", 5]]), "a", 3).get("a"), 5);
    });

    it("refer to the members that are neither dead nor departed", () => {
        const state = createState([memberOf("b", "far"), memberOf("c", "far", MemberCondition.Dead)]);
        assert.deepEqual(
            listRoster(state).map(member => member.nodeId),
            ["b", "self"],
        );
    });
});
