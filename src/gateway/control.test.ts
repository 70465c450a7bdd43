import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { createManualClock } from "../base/createManualClock";
import { createRandom } from "../base/createRandom";
import { type Failure, FailureKind } from "../base/failure";
import { createLog } from "../base/log/createLog";
import { createFakeTable } from "../nodes/_testing/createFakeTable";
import { runClock } from "../nodes/_testing/runClock";
import type { NodeIdentity } from "../decisions/relays/news";
import type { DutyHolder, DutyPort, UsageReport } from "../ports/duties";
import type { TableRows, WatchedTablePort } from "../ports/watchedTable";
import { makeSettings } from "./_testing/createGatewayHarness";
import { makeEndpoint } from "./_testing/makeEndpoint";
import { createRateLimitedLog } from "./process/createRateLimitedLog";
import { createEndpointDirectory } from "./endpoints/createEndpointDirectory";
import { createMembership } from "./news/createMembership";
import { createClusterTime } from "./tables/createClusterTime";
import { createUsageDuty } from "./duties/createUsageDuty";
import { createUsageLedger } from "./duties/createUsageLedger";
import { createUsageMeter } from "./duties/createUsageMeter";
import { makeNews } from "./_testing/makeNews";
import { startDutyHolder } from "./duties/startDutyHolder";
import { startTableWatch } from "./tables/startTableWatch";

const SILENT_LOG = createLog({ write: () => undefined });

describe("the endpoint directory", () => {
    const create = () => {
        const clock = createManualClock();
        return { clock, directory: createEndpointDirectory(makeSettings(), clock, SILENT_LOG) };
    };
    const listIds = (directory: ReturnType<typeof create>["directory"]) =>
        directory.listUsable("chat").map(record => record.endpoint.id);

    it("lists no endpoint as usable that drains or whose entry was removed", () => {
        const { directory } = create();
        directory.replaceAll(
            ["i-1", "i-2", "i-3"].map(id => ({ id, endpoint: makeEndpoint(id) })),
            false,
        );
        directory.applyEntry({ id: "i-1", endpoint: makeEndpoint("i-1", { isDraining: true }) }, false);
        directory.applyEntry({ id: "i-2", endpoint: undefined }, false);
        assert.deepEqual(listIds(directory), ["i-3"]);
    });

    it("keeps endpoints whose entries disappeared in a store outage, but only for a grace time", () => {
        const { clock, directory } = create();
        directory.replaceAll([{ id: "i-1", endpoint: makeEndpoint("i-1") }], false);
        directory.replaceAll([], true);
        assert.deepEqual(listIds(directory), ["i-1"]);
        clock.advanceMs(2_500);
        assert.deepEqual(listIds(directory), []);
    });

    it("creates a new record for an endpoint that was restarted under its id", () => {
        const { directory } = create();
        directory.replaceAll([{ id: "i-1", endpoint: makeEndpoint("i-1", { startedAtMs: 1 }) }], false);
        const [before] = directory.listUsable("chat");
        directory.applyEntry({ id: "i-1", endpoint: makeEndpoint("i-1", { startedAtMs: 2 }) }, false);
        assert.notEqual(directory.listUsable("chat")[0], before);
    });
});

describe("a table watch", () => {
    it("continues from the last revision, at once after a failure, and reads all rows after lost history", async () => {
        const clock = createManualClock();
        const calls: string[] = [];
        const rows: TableRows = { rows: [], revision: 7, storeNowMs: 0 };
        const answers: Result<TableRows, Failure>[] = [
            ok(rows),
            err(createFailure(FailureKind.StoreUnavailable, "unavailable")),
            ok({ ...rows, revision: 8 }),
            err(createFailure(FailureKind.HistoryLost, "history lost")),
            ok({ ...rows, revision: 5 }),
            ok({ ...rows, revision: 9 }),
        ];
        const answer = async (call: string) => {
            calls.push(call);
            return answers.shift() ?? new Promise<never>(() => undefined);
        };
        const port: WatchedTablePort = {
            readTable: () => answer("read"),
            waitForChanges: (_table, revision, waitMs) => answer(`${revision}+${waitMs}`),
        };
        const recoveries: boolean[] = [];
        startTableWatch({
            table: "servers",
            port,
            clock,
            random: createRandom(1),
            log: SILENT_LOG,
            reportFailure: () => undefined,
            waitMs: 900,
            handleRows: (_rows, _isWhole, isStoreRecovering) => recoveries.push(isStoreRecovering),
            handleConfirmation: () => undefined,
        });
        await runClock(clock, 3_000);
        assert.deepEqual(calls.slice(0, 4), ["read", "7+900", "7+0", "8+900"]);
        assert.equal(calls[4], "read");
        assert.deepEqual(recoveries, [false, true]);
    });
});

describe("cluster time", () => {
    it("follows the store's clock and ignores changes of the wall clock", () => {
        const clock = createManualClock({ startWallMs: 1_000_000 });
        let jumpMs = 0;
        const clusterTime = createClusterTime({ ...clock, readWallMs: () => clock.readWallMs() + jumpMs });
        clusterTime.recordStoreClock(500);
        clusterTime.setAgreedOffset(clusterTime.measureOffsetMs() ?? 0);
        clock.advanceMs(1_000);
        jumpMs = 60_000;
        assert.equal(clusterTime.readClusterMs(), 1_001_000);
    });

    it("measures the offset by the least delayed answer of the store", () => {
        const clock = createManualClock({ startWallMs: 1_000_000 });
        const clusterTime = createClusterTime(clock);
        clusterTime.recordStoreClock(500);
        clock.advanceMs(100);
        clusterTime.recordStoreClock(520);
        assert.equal(clusterTime.measureOffsetMs(), 1_000_100 - 600);
    });
});

describe("the usage ledger", () => {
    it("sums the counts of all incarnations, and counts none twice", () => {
        const ledger = createUsageLedger();
        const record = (life: string, atMs: number, county: number) =>
            ledger.recordUsage({ node: "n", life, atMs, windows: { 3: { county } } });
        record("a", 1, 5);
        record("a", 3, 9);
        record("a", 2, 7);
        record("b", 1, 2);
        assert.deepEqual(ledger.sumWindow(3), { county: 11 });
        assert.deepEqual(ledger.sumWindow(4), {});
    });
});

describe("the rate-limited log", () => {
    it("drops lines above its limit, ordinary ones first, and logs how many", () => {
        const lines: string[] = [];
        const clock = createManualClock();
        const log = createRateLimitedLog(createLog({ write: line => void lines.push(line) }), clock);
        for (let count = 0; count < 100; count++) {
            log.info("ordinary");
        }
        for (let count = 0; count < 100; count++) {
            log.withFields({ node: "n" }).warn("failure");
        }
        assert.equal(lines.filter(line => line.includes("ordinary")).length, 30);
        assert.equal(lines.filter(line => line.includes("failure")).length, 30);
        clock.advanceMs(1_000);
        log.info("next");
        assert.ok(lines.some(line => line.includes("dropped=140")));
    });
});

describe("the duties", () => {
    const WINDOW_MS = 5_000;

    function createNode(name: string, environment: ReturnType<typeof createEnvironment>, isFirstStart = true) {
        const { clock, table, sent, nodes, stopped } = environment;
        const clusterTime = createClusterTime(clock);
        clusterTime.recordStoreClock(clock.readMonotonicMs());
        clusterTime.setAgreedOffset(1_000_000);
        const usage = createUsageMeter(clusterTime, WINDOW_MS);
        const ledger = createUsageLedger();
        const client = table.createClient(clock);
        const self = {
            node: name,
            life: `${name}-${clock.readMonotonicMs()}`,
            failureDomain: "hobart-1",
            address: "127.0.0.1",
            port: 1,
            capacity: 1,
        };
        const news = makeNews({
            isInTouch: () => false,
            isRelay: () => !stopped.has(name),
            listAllRelays: () => [...nodes].filter(({ node }) => !stopped.has(node)),
            listMembers: () => [self],
        });
        nodes.push(self);
        stopped.delete(name);
        const membership = createMembership({
            self,
            windowMs: WINDOW_MS,
            news,
            table: client,
            clusterTime,
            usage,
            clock,
            random: createRandom(1),
            log: SILENT_LOG,
            reportFailure: () => undefined,
        });
        const cloud: DutyPort = {
            sendUsage: async (holder, report) => {
                sent.push({ holder, report, atMs: clock.readMonotonicMs() });
                return ok(undefined);
            },
            setFleetSize: async () => ok(undefined),
        };
        const duty = createUsageDuty({
            windowMs: WINDOW_MS,
            dueMs: 10_000,
            cloud,
            table: client,
            membership,
            ledger,
            clusterTime,
            isFirstStart,
            log: SILENT_LOG,
        });
        const holding = startDutyHolder({
            node: name,
            leaseMs: 3_000,
            table: client,
            news,
            duties: [duty],
            clock,
            log: SILENT_LOG,
            reportFailure: () => undefined,
        });
        const stop = () => {
            holding.leave();
            membership.dispose();
            stopped.add(name);
        };
        return { usage, membership, holding, stop };
    }

    function createEnvironment() {
        const sent: { holder: DutyHolder; report: UsageReport; atMs: number }[] = [];
        const nodes: NodeIdentity[] = [];
        const stopped = new Set<string>();
        return { clock: createManualClock(), table: createFakeTable(), sent, nodes, stopped };
    }

    it("report each window once, with the counts of all nodes", async () => {
        const environment = createEnvironment();
        const [left, right] = [createNode("left", environment), createNode("right", environment)];
        await runClock(environment.clock, 1_000);
        left.usage.recordExecutionStart("county");
        right.usage.recordExecutionStart("county");
        right.usage.recordExecutionStart("shire");
        await runClock(environment.clock, 14_000);
        const reported = environment.sent.filter(call => call.report.window === 200);
        assert.equal(reported.length, 1);
        assert.deepEqual(reported[0]?.report.counts, { county: 2, shire: 1 });
    });

    it("report windows that ended before the holder's process started", async () => {
        const environment = createEnvironment();
        const left = createNode("left", environment);
        await runClock(environment.clock, 7_000);
        left.usage.recordExecutionStart("county");
        await runClock(environment.clock, 3_500);
        left.stop();
        const right = createNode("right", environment, false);
        await runClock(environment.clock, 9_000);
        const reported = environment.sent.filter(call => call.report.window === 201);
        assert.deepEqual(
            reported.map(call => [call.holder.nodeName, call.report.counts]),
            [["right", { county: 1 }]],
        );
        right.stop();
    });

    it("report what a node counted before it was killed, also when it starts again at once", async () => {
        const environment = createEnvironment();
        const left = createNode("left", environment);
        await runClock(environment.clock, 6_000);
        left.usage.recordExecutionStart("county");
        await runClock(environment.clock, 3_000);
        left.stop();
        const next = createNode("left", environment, false);
        await runClock(environment.clock, 500);
        next.usage.recordExecutionStart("county");
        await runClock(environment.clock, 9_000);
        const reported = environment.sent.filter(call => call.report.window === 201);
        assert.deepEqual(
            reported.map(call => call.report.counts),
            [{ county: 2 }],
        );
        next.stop();
    });

    it("pass to a relay that is not among the first by name when those stop in turn, and not to one that leaves", async () => {
        const environment = createEnvironment();
        const [first, second, third] = ["a", "b", "c"].map(name => createNode(name, environment));
        await runClock(environment.clock, 12_000);
        // Both still serve as relays while they drain.
        first?.holding.leave();
        second?.holding.leave();
        await runClock(environment.clock, 20_000);
        const holders = environment.sent.filter(call => call.atMs > 22_000).map(call => call.holder.nodeName);
        assert.ok(holders.length > 0);
        assert.deepEqual(new Set(holders), new Set(["c"]));
        [first, second, third].forEach(node => node?.stop());
    });

    it("move to another node under a higher epoch, and never report a window with other counts", async () => {
        const environment = createEnvironment();
        const nodes = [createNode("left", environment), createNode("right", environment)];
        await runClock(environment.clock, 16_000);
        const first = environment.sent.at(-1)?.holder;
        const leaving = nodes[first?.nodeName === "left" ? 0 : 1];
        const departedAtMs = environment.clock.readMonotonicMs();
        leaving?.stop();
        await runClock(environment.clock, 30_000);
        const later = environment.sent.filter(call => call.atMs > departedAtMs + 1_000);
        assert.ok(later.length > 0);
        assert.ok(later.every(call => call.holder.nodeName !== first?.nodeName));
        assert.ok(later.every(call => call.holder.epoch > (first?.epoch ?? 0)));
        const contents = new Map<number, string>();
        for (const { report } of environment.sent) {
            const text = JSON.stringify(report.counts);
            assert.equal(contents.get(report.window) ?? text, text);
            contents.set(report.window, text);
        }
    });
});
