import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { createLog } from "../../base/log/createLog";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import { createFakeTable } from "../../nodes/_testing/createFakeTable";
import { runClock } from "../../nodes/_testing/runClock";
import { makeNews } from "../_testing/makeNews";
import { createClusterTime } from "../tables/createClusterTime";
import type { FleetNews } from "./createFleetNews";
import { createMembership } from "./createMembership";
import { createUsageMeter } from "../duties/createUsageMeter";
import { decodeMember, decodeRelay, encodeRelay } from "./memberRecord";

const SILENT_LOG = createLog({ write: () => undefined });

describe("the rows of the nodes", () => {
    const SELF = {
        node: "west-1",
        life: "west-1-a",
        failureDomain: "west",
        address: "127.0.0.1",
        port: 7_600,
        capacity: 1,
    };

    function startNode(news: Partial<FleetNews>, clock = createManualClock(), fake = createFakeTable()) {
        const table = fake.createClient(clock);
        const calls: string[] = [];
        const clusterTime = createClusterTime(clock);
        clusterTime.recordStoreClock(clock.readMonotonicMs());
        clusterTime.setAgreedOffset(1_000_000);
        const membership = createMembership({
            self: SELF,
            windowMs: 5_000,
            news: makeNews(news),
            table: {
                ...table,
                listRows: prefix => {
                    calls.push(`list ${prefix}`);
                    return table.listRows(prefix);
                },
                commitTransaction: transaction => {
                    calls.push(...transaction.writes.map(write => `write ${write.key}`));
                    return table.commitTransaction(transaction);
                },
            },
            clusterTime,
            usage: createUsageMeter(clusterTime, 5_000),
            clock,
            random: createRandom(1),
            log: SILENT_LOG,
            reportFailure: () => undefined,
        });
        return { clock, table, calls, membership };
    }

    // Guards against a start that waits for each call to the store before the next one that doesn't need it.
    it("are read by a node that starts without a wait for the write of its own row", async () => {
        let listedAtMs: number | undefined;
        const { clock, table, calls } = startNode({
            isRelay: () => false,
            addMembers: () => {
                listedAtMs ??= clock.readMonotonicMs();
            },
        });
        // The calls of the first step are under way; those of the next one take this time.
        table.setDelay(200);
        const startedAtMs = clock.readMonotonicMs();
        await runClock(clock, 1_000);
        assert.deepEqual(calls.slice(0, 3), ["list relay/", "write member/west/west-1/west-1-a", "list member/west/"]);
        assert.ok((listedAtMs ?? Number.POSITIVE_INFINITY) - startedAtMs < 350, `${listedAtMs}`);
    });

    // Guards against usage that only a relay knows and that is lost when its whole failure domain stops.
    it("hold the last counts of a node that stops, and leave it out of the members", async () => {
        const other = { ...SELF, node: "west-2", life: "west-2-a" };
        const reported = { node: other.node, life: other.life, atMs: 1_000_000, windows: { "200": { county: 7 } } };
        const fake = createFakeTable();
        const { clock, calls, membership } = startNode(
            { isRelay: () => true, listMembers: () => [SELF, other], listCounts: () => [reported] },
            createManualClock(),
            fake,
        );
        await runClock(clock, 10_000);
        await membership.storeLastCounts();
        const record = decodeMember(fake.rows.get("member/west/west-1/west-1-a")?.value ?? "");
        assert.deepEqual(record?.counts, [reported]);
        assert.deepEqual(record.members, [other]);
        const callsAtStop = calls.length;
        await runClock(clock, 20_000);
        assert.equal(calls.length, callsAtStop);
    });

    it("aren't written by a node that stops without having counted anything", async () => {
        const { clock, calls, membership } = startNode({ isRelay: () => false });
        await runClock(clock, 1_000);
        const callsBefore = calls.length;
        await membership.storeLastCounts();
        assert.equal(calls.length, callsBefore);
    });

    it("cost a node with a relay nothing after its start", async () => {
        const { clock, calls, membership } = startNode({ isRelay: () => false });
        await runClock(clock, 6_000);
        const started = calls.length;
        assert.ok(started <= 5, calls.join(", "));
        await runClock(clock, 60_000);
        assert.equal(calls.length, started);
        membership.dispose();
    });

    it("are written by a node that has lost its relays, which also looks for new ones", async () => {
        const { clock, calls, membership } = startNode({ isRelay: () => false, isInTouch: () => false });
        await runClock(clock, 6_000);
        const started = calls.length;
        await runClock(clock, 10_000);
        const later = calls.slice(started);
        assert.ok(later.filter(call => call === "write member/west/west-1/west-1-a").length >= 3);
        assert.ok(later.includes("list member/west/"));
        membership.dispose();
    });

    it("of a relay name it and its nodes", async () => {
        const member = { ...SELF, node: "west-2", life: "west-2-a", port: 7_601 };
        const { clock, table, membership } = startNode({ listMembers: () => [SELF, member] });
        await runClock(clock, 12_000);
        const rows = await table.listRows("member/west/");
        assert.deepEqual(
            rows._unsafeUnwrap().flatMap(row => decodeMember(row.value)?.members.map(({ node }) => node) ?? []),
            ["west-1", "west-2"],
        );
        const relays = await table.listRows("relay/");
        assert.deepEqual(
            relays._unsafeUnwrap().map(row => decodeRelay(row.value)?.nodes),
            [2],
        );
        membership.dispose();
    });

    // Guards against a part whose crashes nobody knows any more after all nodes were killed at once.
    it("of relays that are gone give a starting node the evidence on crashing parts before the first view", async () => {
        const suspects = { p: { crashes: { "c-1": 2_000 }, clearances: 3, earlierClearances: 0 } };
        const clock = createManualClock();
        const fake = createFakeTable();
        const before = startNode({ readSuspects: () => suspects }, clock, fake);
        await runClock(clock, 12_000);
        before.membership.dispose();
        const [row] = (await before.table.listRows("relay/"))._unsafeUnwrap();
        assert.ok(row !== undefined);
        await runClock(clock, 60_000);
        const learned: string[] = [];
        const news: Partial<FleetNews> = {
            addStoredSuspects: ({ p }) => learned.push(`evidence of ${p?.crashes["c-1"]} ms, ${p?.clearances}`),
            addMembers: () => learned.push("members"),
        };
        const after = startNode(news, clock, fake);
        await runClock(clock, 3_000);
        after.membership.dispose();
        const ageMs = Number(learned[0]?.split(" ")[2]);
        assert.match(learned.join(), /^evidence of \d+ ms, 3,members/u);
        assert.ok(ageMs > 61_000 && ageMs <= 2_000 + 72_000, `${ageMs} ms`);
        const { suspects: unknown, ...old } = { ...JSON.parse(row.value), suspects: "?" };
        assert.deepEqual(decodeRelay(JSON.stringify(old))?.suspects, {});
        assert.deepEqual(decodeRelay(JSON.stringify({ ...old, suspects: unknown }))?.suspects, {});
    });

    // Guards against rows of relays that are gone for good and stay in the store for ever.
    it("are deleted by the reader when no relay has written them for longer than evidence counts", async () => {
        for (const role of [RowRole.Reader, RowRole.Relay]) {
            const clock = createManualClock();
            const fake = createFakeTable();
            const identity = { ...SELF, node: "west-9" };
            fake.writeRow("relay/west/west-9", encodeRelay({ atMs: 1_000_000, identity, nodes: 1, suspects: {} }));
            fake.writeRow("relay/west/unknown", "{}");
            const { calls, membership } = startNode({ readRowSources: () => ({ role, nodes: [] }) }, clock, fake);
            await runClock(clock, 600_000, 125);
            assert.ok(fake.rows.has("relay/west/west-9"));
            await runClock(clock, 90_000, 125);
            membership.dispose();
            assert.equal(fake.rows.has("relay/west/west-9"), role !== RowRole.Reader);
            assert.ok(fake.rows.has("relay/west/west-1") && fake.rows.has("relay/west/unknown"));
            const deletions = calls.filter(call => call === "write relay/west/west-9");
            assert.equal(deletions.length, role === RowRole.Reader ? 1 : 0);
        }
    });
});
