import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { ok, type Result } from "neverthrow";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import type { Failure } from "../../base/failure";
import { createLog } from "../../base/log/createLog";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createFakeTable } from "../../nodes/_testing/createFakeTable";
import { runClock } from "../../nodes/_testing/runClock";
import type { TableRows, WatchedRow, WatchedTablePort } from "../../ports/watchedTable";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { makeNews } from "../_testing/makeNews";
import { createClusterTime } from "../tables/createClusterTime";
import { createMembership } from "../news/createMembership";
import { createUsageMeter } from "../duties/createUsageMeter";
import type { GatewayPlatform } from "../gatewayPlatform";
import { startClusterTime } from "../tables/startClusterTime";
import { type Duty, startDutyHolder } from "../duties/startDutyHolder";
import { startTableWatch } from "../tables/startTableWatch";
import { startWatches } from "../tables/startWatches";

const LOG = createLog({ write: () => undefined });
const LEASE_MS = 3_000;
/** The shortest time of the sites within which a change must be in force. */
const CHANGE_BOUND_MS = 3_000;

const throwPlanted = () => {
    throw new Error("planted");
};

/** Counts what a part of the gateway reports. */
function createReports() {
    const owners: string[] = [];
    return { owners, reportFailure: (owner: string) => void owners.push(owner) };
}

/** Creates what a part that uses the store needs. */
function createStoreParts() {
    const clock = createManualClock();
    const clusterTime = createClusterTime(clock);
    clusterTime.recordStoreClock(500);
    return { clock, clusterTime, table: createFakeTable().createClient(clock), ...createReports() };
}

describe("a watch whose handler throws", () => {
    // Guards against: after some errors of its handlers, a watch begins again only 5 s after the next one, for good.
    it("handles the rows soon after, however often that has happened before", async () => {
        const clock = createManualClock();
        const { owners, reportFailure } = createReports();
        let revision = 1;
        let failsNext = false;
        let handledAtMs = 0;
        const answer = async (): Promise<Result<TableRows, Failure>> => {
            await clock.waitMs(100);
            return ok({ rows: [{ key: "a", value: "1", version: ++revision }], revision, storeNowMs: 0 });
        };
        const port: WatchedTablePort = { readTable: answer, waitForChanges: answer };
        const watch = startTableWatch({
            table: "servers",
            port,
            clock,
            random: createRandom(1),
            log: LOG,
            waitMs: 900,
            handleRows: () => {
                if (failsNext) {
                    failsNext = false;
                    throwPlanted();
                }
                handledAtMs = clock.readMonotonicMs();
            },
            handleConfirmation: () => undefined,
            reportFailure,
        });
        const pausesMs: number[] = [];
        for (let failures = 0; failures < 10; failures++) {
            await runClock(clock, 10_000);
            failsNext = true;
            const failedAtMs = clock.readMonotonicMs();
            await runClock(clock, 200);
            while (handledAtMs <= failedAtMs + 150) {
                await runClock(clock, 50);
            }
            pausesMs.push(handledAtMs - failedAtMs);
        }
        watch.dispose();
        assert.ok(Math.max(...pausesMs) < 1_000, pausesMs.join(", "));
        assert.deepEqual([...new Set(owners)], ["watch"]);
        assert.equal(owners.length, 10);
    });
});

describe("a watch whose confirmation throws", () => {
    // Guards against: the rows of an answer that failed are never asked for again, and other nodes get a table with holes.
    it("asks for the same rows again, and passes them on whole", async () => {
        const clock = createManualClock();
        const { reportFailure } = createReports();
        const passedOn: { rows: number; isWholeTable: boolean }[] = [];
        let confirmations = 0;
        const rows = ["x", "y"].map(key => ({ key, value: "1", version: 10 }));
        const port: WatchedTablePort = {
            readTable: () => Promise.resolve(ok({ rows, revision: 10, storeNowMs: 0 })),
            waitForChanges: async () => {
                await clock.waitMs(100);
                return ok({ rows: [{ key: "z", value: "1", version: 11 }], revision: 11, storeNowMs: 0 });
            },
        };
        const watch = startTableWatch({
            table: "servers",
            port,
            clock,
            random: createRandom(1),
            log: LOG,
            waitMs: 900,
            handleRows: () => undefined,
            handleConfirmation: () => (confirmations++ === 0 ? throwPlanted() : undefined),
            snapshot: {
                recordAnswer: (answer, { isWholeTable }) => {
                    passedOn.push({ rows: answer.rows.length, isWholeTable });
                },
                recordFailure: () => undefined,
            },
            reportFailure,
        });
        await runClock(clock, 5_000);
        watch.dispose();
        assert.deepEqual(passedOn.slice(0, 2), [
            { rows: 2, isWholeTable: true },
            { rows: 1, isWholeTable: false },
        ]);
    });
});

describe("a row whose decoder throws", () => {
    let harness: GatewayHarness;
    afterEach(() => harness.dispose());

    // Guards against: one row that the program can't handle keeps a node, or all, from every other row of its table.
    it("is skipped and counted; the other rows of its table are in force", async () => {
        const clock = createManualClock();
        const { owners, reportFailure } = createReports();
        harness = await createGatewayHarness(makeRoute(), []);
        const components = { ...harness.components, clock, reportFailure };
        const tables: Record<string, readonly WatchedRow[]> = {
            op: [
                { key: "odd", value: "odd", version: 1 },
                { key: "config", value: "9", version: 1 },
            ],
            servers: [
                { key: "odd", value: "odd", version: 1 },
                { key: "i-9", value: "9", version: 1 },
            ],
        };
        const decode = (row: WatchedRow) => (row.key === "odd" ? throwPlanted() : row.value);
        const view = harness.configuration.readCurrent()?.configuration;
        assert.ok(view);
        const watched: WatchedTablePort = {
            readTable: async table => ok({ rows: tables[table] ?? [], revision: 1, storeNowMs: 0 }),
            waitForChanges: () => new Promise(() => undefined),
        };
        const platform = {
            tables: { ...createFakeTable().createClient(clock), ...watched },
            configurationTable: "op",
            endpointTable: "servers",
            decodeConfigurationRow: (row: WatchedRow) =>
                decode(row) === undefined ? undefined : ok({ ...view, version: 9 }),
            decodeRolloutRow: (row: WatchedRow) => void decode(row),
            decodeEvacuationRow: (row: WatchedRow) => void decode(row),
            decodeEndpointRow: (row: WatchedRow) => (decode(row) === undefined ? undefined : makeEndpoint(row.key)),
        } as Partial<GatewayPlatform> as GatewayPlatform;
        startWatches(components, platform, createClusterTime(clock));
        await runClock(clock, CHANGE_BOUND_MS);
        assert.equal(harness.configuration.readCurrent()?.configuration.version, 9);
        assert.equal(harness.directory.findEndpoint("i-9")?.endpoint.id, "i-9");
        assert.deepEqual(owners, ["row", "row", "row", "row"]);
    });
});

describe("duties of which one throws", () => {
    function startHolder(duties: readonly Duty[]) {
        const clock = createManualClock();
        const { owners, reportFailure } = createReports();
        const table = createFakeTable().createClient(clock);
        const news = makeNews();
        startDutyHolder({ node: "n-1", leaseMs: LEASE_MS, table, news, duties, clock, log: LOG, reportFailure });
        return { clock, owners };
    }

    // Guards against: a duty that throws keeps the duties after it from being carried out.
    it("are carried out all the same, each at its turn", async () => {
        let steps = 0;
        const failing: Duty = { beginTerm: () => undefined, runStep: async () => throwPlanted() };
        const sound: Duty = { beginTerm: () => undefined, runStep: async () => void steps++ };
        const { clock, owners } = startHolder([failing, sound]);
        await runClock(clock, 20_000);
        assert.ok(steps > 30, `${steps} steps`);
        assert.equal(owners[0], "duty");
    });

    // Guards against: an error of the holder leaves its lease to be renewed for good, and nobody carries out the duties.
    it("are taken up again after an error outside of them", async () => {
        let steps = 0;
        let terms = 0;
        const duty: Duty = {
            beginTerm: () => {
                if (terms++ === 0) {
                    throwPlanted();
                }
            },
            runStep: async () => void steps++,
        };
        const { clock, owners } = startHolder([duty]);
        await runClock(clock, 20_000);
        assert.ok(steps > 10, `${steps} steps, ${terms} terms`);
        assert.deepEqual(owners, ["duty"]);
    });
});

describe("what is read once at the start", () => {
    // Guards against: one error ends the agreement on the cluster time, without which no usage is ever reported.
    it("is read again after an error: the cluster time", async () => {
        const { clock, owners, reportFailure, table, clusterTime } = createStoreParts();
        let calls = 0;
        startClusterTime({
            table: { ...table, readRow: key => (calls++ === 0 ? throwPlanted() : table.readRow(key)) },
            clusterTime,
            clock,
            log: LOG,
            reportFailure,
        });
        await runClock(clock, 2_000);
        assert.equal(clusterTime.hasAgreedOffset(), true);
        assert.deepEqual(owners, ["cluster time"]);
    });
});

describe("the rows of nodes", () => {
    // Guards against: one error of a call to the store ends the membership of a node, or delays it for seconds.
    it("are written and read again soon after an error", async () => {
        const { clock, owners, reportFailure, table, clusterTime } = createStoreParts();
        clusterTime.setAgreedOffset(1_000_000);
        let lists = 0;
        const membership = createMembership({
            self: { node: "n-1", life: "a", failureDomain: "west", address: "127.0.0.1", port: 7_600, capacity: 1 },
            windowMs: 5_000,
            news: makeNews(),
            table: { ...table, listRows: prefix => (lists++ === 0 ? throwPlanted() : table.listRows(prefix)) },
            clusterTime,
            usage: createUsageMeter(clusterTime, 5_000),
            clock,
            random: createRandom(1),
            log: LOG,
            reportFailure,
        });
        await runClock(clock, 3_000);
        assert.ok(lists > 2, `${lists} lists`);
        assert.deepEqual(owners, ["membership"]);
        membership.dispose();
    });
});
