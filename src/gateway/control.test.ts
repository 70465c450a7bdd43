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
import type { DutyHolder, DutyPort, UsageReport } from "../ports/duties";
import type { TableRows, WatchedTablePort } from "../ports/watchedTable";
import { makeSettings } from "./_testing/createGatewayHarness";
import { makeEndpoint } from "./_testing/makeEndpoint";
import { createRateLimitedLog } from "./createRateLimitedLog";
import { createEndpointDirectory } from "./createEndpointDirectory";
import { createMembership } from "./createMembership";
import { createClusterTime } from "./createClusterTime";
import { createUsageDuty } from "./createUsageDuty";
import { createUsageLedger } from "./createUsageLedger";
import { createUsageMeter } from "./createUsageMeter";
import { startDutyHolder } from "./startDutyHolder";
import { startTableWatch } from "./startTableWatch";

const QUIET = createLog({ write: () => undefined });

describe("the directory of endpoints", () => {
    const create = () => {
        const clock = createManualClock();
        return { clock, directory: createEndpointDirectory(makeSettings(), clock, QUIET) };
    };
    const listIds = (directory: ReturnType<typeof create>["directory"]) =>
        directory.listUsable("chat").map(record => record.endpoint.id);

    it("gives no new work to an endpoint that drains or whose entry is gone", () => {
        const { directory } = create();
        directory.replaceAll(
            ["i-1", "i-2", "i-3"].map(id => ({ id, endpoint: makeEndpoint(id) })),
            false,
        );
        directory.applyEntry({ id: "i-1", endpoint: makeEndpoint("i-1", { isDraining: true }) }, false);
        directory.applyEntry({ id: "i-2", endpoint: undefined }, false);
        assert.deepEqual(listIds(directory), ["i-3"]);
    });

    it("keeps entries that vanished while the store was away for the time in which they come back, and no longer", () => {
        const { clock, directory } = create();
        directory.replaceAll([{ id: "i-1", endpoint: makeEndpoint("i-1") }], false);
        directory.replaceAll([], true);
        assert.deepEqual(listIds(directory), ["i-1"]);
        clock.advanceMs(2_500);
        assert.deepEqual(listIds(directory), []);
    });

    it("forgets what it knew of an endpoint that started again under its id", () => {
        const { directory } = create();
        directory.replaceAll([{ id: "i-1", endpoint: makeEndpoint("i-1", { startedAtMs: 1 }) }], false);
        const [before] = directory.listUsable("chat");
        directory.applyEntry({ id: "i-1", endpoint: makeEndpoint("i-1", { startedAtMs: 2 }) }, false);
        assert.notEqual(directory.listUsable("chat")[0], before);
    });
});

describe("the watch of a table", () => {
    it("reads on from the last revision, whole again after lost history, and at once after a failure", async () => {
        const clock = createManualClock();
        const calls: string[] = [];
        const rows: TableRows = { rows: [], revision: 7, storeNowMs: 0 };
        const answers: Result<TableRows, Failure>[] = [
            ok(rows),
            err(createFailure(FailureKind.StoreUnavailable, "away")),
            ok({ ...rows, revision: 8 }),
            err(createFailure(FailureKind.HistoryLost, "gone")),
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
        const away: boolean[] = [];
        startTableWatch({
            table: "servers",
            port,
            clock,
            random: createRandom(1),
            log: QUIET,
            waitMs: 900,
            handleRows: (_rows, _isWhole, wasStoreAway) => away.push(wasStoreAway),
            handleConfirmation: () => undefined,
        });
        await runClock(clock, 3_000);
        assert.deepEqual(calls.slice(0, 4), ["read", "7+900", "7+0", "8+900"]);
        assert.equal(calls[4], "read");
        assert.deepEqual(away, [false, true]);
    });
});

describe("true time", () => {
    it("follows the store's clock, whatever becomes of the wall clock", () => {
        const clock = createManualClock({ startWallMs: 1_000_000 });
        let jumpMs = 0;
        const clusterTime = createClusterTime({ ...clock, readWallMs: () => clock.readWallMs() + jumpMs });
        clusterTime.recordStoreClock(500);
        clusterTime.setAgreedOffset(clusterTime.measureOffsetMs() ?? 0);
        clock.advanceMs(1_000);
        jumpMs = 60_000;
        assert.equal(clusterTime.readClusterMs(), 1_001_000);
    });

    it("takes the least delayed answer of the store", () => {
        const clock = createManualClock({ startWallMs: 1_000_000 });
        const clusterTime = createClusterTime(clock);
        clusterTime.recordStoreClock(500);
        clock.advanceMs(100);
        clusterTime.recordStoreClock(520);
        assert.equal(clusterTime.measureOffsetMs(), 1_000_100 - 600);
    });
});

describe("the ledger of usage", () => {
    it("sums over lives, and never counts one life twice", () => {
        const ledger = createUsageLedger();
        const tell = (life: string, atMs: number, county: number) =>
            ledger.recordUsage({ node: "n", life, atMs, windows: { 3: { county } } });
        tell("a", 1, 5);
        tell("a", 3, 9);
        tell("a", 2, 7);
        tell("b", 1, 2);
        assert.deepEqual(ledger.sumWindow(3), { county: 11 });
        assert.deepEqual(ledger.sumWindow(4), {});
    });
});

describe("the bounded log", () => {
    it("drops what is beyond its budget, ordinary lines first, and counts it", () => {
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

    function createNode(name: string, world: ReturnType<typeof createWorld>, isFirstStart = true) {
        const { clock, table, sent } = world;
        const clusterTime = createClusterTime(clock);
        clusterTime.recordStoreClock(clock.readMonotonicMs());
        clusterTime.setAgreedOffset(1_000_000);
        const usage = createUsageMeter(clusterTime, WINDOW_MS);
        const ledger = createUsageLedger();
        const client = table.createClient(clock);
        const membership = createMembership({
            node: name,
            address: "127.0.0.1",
            port: 1,
            windowMs: WINDOW_MS,
            table: client,
            clusterTime,
            usage,
            clock,
            random: createRandom(1),
            log: QUIET,
        });
        const cloud: DutyPort = {
            sendUsage: async (holder, report) => {
                sent.push({ holder, report, atMs: clock.readMonotonicMs() });
                return ok(undefined);
            },
            orderFleet: async () => ok(undefined),
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
            log: QUIET,
        });
        const holding = startDutyHolder({
            node: name,
            leaseMs: 3_000,
            table: client,
            membership,
            duties: [duty],
            clock,
            log: QUIET,
        });
        return { usage, membership, holding };
    }

    function createWorld() {
        const sent: { holder: DutyHolder; report: UsageReport; atMs: number }[] = [];
        return { clock: createManualClock(), table: createFakeTable(), sent };
    }

    it("report each window once, with the counts of all nodes", async () => {
        const world = createWorld();
        const [left, right] = [createNode("left", world), createNode("right", world)];
        await runClock(world.clock, 1_000);
        left.usage.recordExecutionStart("county");
        right.usage.recordExecutionStart("county");
        right.usage.recordExecutionStart("shire");
        await runClock(world.clock, 14_000);
        const reported = world.sent.filter(call => call.report.window === 200);
        assert.equal(reported.length, 1);
        assert.deepEqual(reported[0]?.report.counts, { county: 2, shire: 1 });
    });

    it("are counted as members once all others have listed them, also after a start without a pause", async () => {
        const world = createWorld();
        const { membership, holding } = createNode("left", world);
        await runClock(world.clock, 2_000);
        assert.equal(membership.isCounted(), false);
        await runClock(world.clock, 13_000);
        assert.equal(membership.isCounted(), true);
        holding.leave();
        membership.dispose();
        await runClock(world.clock, 2_000);
        const next = createNode("left", world);
        await runClock(world.clock, 1_000);
        assert.equal(next.membership.isCounted(), true);
        next.membership.dispose();
        await runClock(world.clock, 25_000);
        assert.equal(membership.isCounted(), false);
        const late = createNode("left", world);
        await runClock(world.clock, 1_000);
        assert.equal(late.membership.isCounted(), false);
    });

    it("report windows that ended before the holder's process started", async () => {
        const world = createWorld();
        const left = createNode("left", world);
        await runClock(world.clock, 7_000);
        left.usage.recordExecutionStart("county");
        await runClock(world.clock, 3_500);
        left.holding.leave();
        left.membership.dispose();
        const right = createNode("right", world, false);
        await runClock(world.clock, 9_000);
        const reported = world.sent.filter(call => call.report.window === 201);
        assert.deepEqual(
            reported.map(call => [call.holder.nodeName, call.report.counts]),
            [["right", { county: 1 }]],
        );
        right.holding.leave();
        right.membership.dispose();
    });

    it("pass on to another node under a higher number, not within the lease's length of the last call", async () => {
        const world = createWorld();
        const nodes = [createNode("left", world), createNode("right", world)];
        await runClock(world.clock, 16_000);
        const first = world.sent.at(-1)?.holder;
        const leaving = nodes[first?.nodeName === "left" ? 0 : 1];
        const leftAtMs = world.clock.readMonotonicMs();
        leaving?.membership.dispose();
        leaving?.holding.leave();
        await runClock(world.clock, 30_000);
        const later = world.sent.filter(call => call.atMs > leftAtMs + 1_000);
        assert.ok(later.length > 0);
        assert.ok(later.every(call => call.holder.nodeName !== first?.nodeName));
        assert.ok(later.every(call => call.holder.epoch > (first?.epoch ?? 0)));
        const contents = new Map<number, string>();
        for (const { report } of world.sent) {
            const text = JSON.stringify(report.counts);
            assert.equal(contents.get(report.window) ?? text, text);
            contents.set(report.window, text);
        }
    });
});
