import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import { makeFleetUsage } from "../../decisions/gateway/_testing/makeFleetUsage";
import type { FormerUsage } from "../../decisions/gateway/computeLeftUsage";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import { createFakeTable, TableFault } from "../../nodes/_testing/createFakeTable";
import { runClock } from "../../nodes/_testing/runClock";
import { makeNews } from "../_testing/makeNews";
import { createClusterTime } from "../tables/createClusterTime";
import type { ConfigurationHolder } from "../tables/createConfigurationHolder";
import { QUOTA_RECORD_KEY, startQuotaRecords } from "./startQuotaRecords";

const WINDOW_MS = 8_000;
const STORE_AHEAD_MS = 50_000;
const USAGE = { used: 900, recent: 100, asked: 100 };
const ACCOUNTS = [
    { name: "county", quotaPerSecond: 100 },
    { name: "unlimited", quotaPerSecond: 0 },
];
const CONFIGURATION = { configuration: { accounts: ACCOUNTS } } as unknown as ReturnType<
    ConfigurationHolder["readCurrent"]
>;

/** Starts the records of a node, before or after which `table` has been used by others. */
function startNode(
    fake = createFakeTable(),
    { role = RowRole.Reader, countsForMs = WINDOW_MS, periodMs = 1_000 } = {},
) {
    const clock = createManualClock();
    const table = fake.createClient(clock);
    const former: FormerUsage[] = [];
    const clusterTime = createClusterTime(clock);
    clusterTime.recordStoreClock(clock.readMonotonicMs() + STORE_AHEAD_MS);
    startQuotaRecords({
        periodMs,
        quotaWindowMs: WINDOW_MS,
        quotas: { recordFormerUsage: usage => void former.push(usage) },
        news: makeNews({
            readRowSources: () => ({ role, nodes: [] }),
            readUsage: () => makeFleetUsage({ countsForMs, usage: { county: USAGE, unlimited: USAGE } }),
        }),
        configuration: { readCurrent: () => CONFIGURATION },
        table,
        clusterTime,
        clock,
        log: createLog({ write: () => undefined }),
        reportFailure: (_owner, error) => assert.fail(String(error)),
    });
    return { clock, table, former, fake };
}

const makeRecord = (atMs: number) => JSON.stringify({ atMs, samples: [{ ageMs: 500, usage: { county: 90 } }] });

describe("the records of the usage of quotas", () => {
    it("hold what accounts with a quota used in the last window", async () => {
        const { clock, fake } = startNode();
        await runClock(clock, 12_000);
        const record = JSON.parse(fake.rows.get(QUOTA_RECORD_KEY)?.value ?? "{}") as {
            readonly atMs: number;
            readonly samples: readonly { readonly ageMs: number; readonly usage: Record<string, number> }[];
        };
        assert.ok(record.samples.length >= 15);
        assert.deepEqual(record.samples[0]?.usage, { county: 95 });
        assert.ok(record.samples.every(({ ageMs }) => ageMs <= WINDOW_MS));
        assert.ok(Math.abs(record.atMs - clock.readMonotonicMs() - STORE_AHEAD_MS) <= 1_500);
    });

    // Guards against a cost that grows with the number of nodes, or appears where nobody asked for it.
    it("cost one read at a node that others read the store for, and nothing where they are off", async () => {
        const ordinary = startNode(createFakeTable(), { role: RowRole.Relay });
        await runClock(ordinary.clock, 20_000);
        assert.deepEqual(ordinary.fake.countCalls(), { reads: 1, writes: 0 });
        const off = startNode(createFakeTable(), { periodMs: 0 });
        await runClock(off.clock, 20_000);
        assert.deepEqual(off.fake.countCalls(), { reads: 0, writes: 0 });
    });

    // Guards against the loss of the record by nodes that know nothing yet: a second kill would meet nodes without any.
    it("are not replaced while the nodes that started have not counted for a whole window", async () => {
        const fake = createFakeTable();
        fake.writeRow(QUOTA_RECORD_KEY, makeRecord(STORE_AHEAD_MS));
        const { clock } = startNode(fake, { countsForMs: WINDOW_MS - 1 });
        await runClock(clock, 20_000);
        assert.equal(fake.rows.get(QUOTA_RECORD_KEY)?.value, makeRecord(STORE_AHEAD_MS));
    });

    it("are read by a node that starts, by the store's clock, also if the store fails at first", async () => {
        const fake = createFakeTable();
        const { clock, table, former } = startNode(fake, { role: RowRole.Node });
        const writtenAtMs = clock.readMonotonicMs() + STORE_AHEAD_MS - 2_000;
        fake.writeRow(QUOTA_RECORD_KEY, makeRecord(writtenAtMs));
        table.setFault(TableFault.Down);
        await runClock(clock, 600);
        table.setFault(TableFault.None);
        await runClock(clock, 600);
        assert.equal(former.length, 1);
        assert.equal(former[0]?.atMs, writtenAtMs - STORE_AHEAD_MS);
        assert.deepEqual(former[0].record, [{ ageMs: 500, usage: { county: 90 } }]);
    });

    // Guards against a malformed row, or one by another clock, that ends the process or grants usage that never left.
    it("count as absent if they are malformed, from the future, or older than a window", async () => {
        const nowMs = createManualClock().readMonotonicMs() + STORE_AHEAD_MS;
        for (const value of [
            "",
            "{",
            makeRecord(nowMs + 5_000),
            makeRecord(nowMs - WINDOW_MS),
            '{"atMs":1,"samples":7}',
        ]) {
            const fake = createFakeTable();
            fake.writeRow(QUOTA_RECORD_KEY, value);
            const { clock, former } = startNode(fake, { role: RowRole.Node });
            await runClock(clock, 600);
            assert.equal(former.length, 0, value);
        }
    });
});
