import assert from "node:assert/strict";
import type http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { ok, err, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { createSystemClock } from "../../base/createSystemClock";
import { type Failure, FailureKind } from "../../base/failure";
import { readInstant, moveInstant } from "../../base/instant";
import { createLog } from "../../base/log/createLog";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import type { NodeIdentity } from "../../decisions/relays/news";
import { startListening } from "../../http/startListening";
import type { TableRows, WatchedRow } from "../../ports/watchedTable";
import { createClusterTime } from "./createClusterTime";
import { createRelayedTables } from "./createRelayedTables";
import { createRowServer } from "./createRowServer";
import { createTableSnapshot, type TableSnapshot } from "./createTableSnapshot";

const TABLE = "servers";
/** The shortest time of the sites within which a leaving endpoint must be known everywhere. */
const DRAIN_BOUND_MS = 3_000;
const clock = createSystemClock();
const stops: (() => void)[] = [];

function makeRow(key: string, version: number): WatchedRow {
    return { key, value: "{}", version };
}

function makeRemovedRow(key: string, version: number): WatchedRow {
    return { key, value: undefined, version };
}

async function startRelay(
    node: string,
): Promise<{ identity: NodeIdentity; snapshot: TableSnapshot; server: http.Server }> {
    const snapshot = createTableSnapshot(clock);
    const clusterTime = createClusterTime(clock);
    clusterTime.recordStoreClock(clock.readMonotonicMs() + 1_000);
    const server = createRowServer({
        snapshots: { [TABLE]: snapshot },
        clusterTime,
        clock,
        reportFailure: () => undefined,
    });
    await startListening(server, { address: "127.0.0.1", port: 0 });
    stops.push(() => {
        server.closeAllConnections();
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const identity = { node, life: node, failureDomain: "west", address: "127.0.0.1", port, capacity: 1 };
    return { identity, snapshot, server };
}

function recordAnswer(snapshot: TableSnapshot, answer: Partial<TableRows>, agoMs = 0, isWholeTable = false) {
    const askedAt = moveInstant(readInstant(clock), -agoMs);
    const rows = { rows: [], revision: 1, storeNowMs: 0, ...answer };
    snapshot.recordAnswer(rows, { askedAt, isWholeTable, isStoreRecovering: false });
}

function createTables(nodes: readonly NodeIdentity[], answerOfStore?: Result<TableRows, Failure>, role = RowRole.Node) {
    const calls: string[] = [];
    const answer = async (call: string) => {
        calls.push(call);
        return answerOfStore ?? ok<TableRows, Failure>({ rows: [], revision: 50, storeNowMs: 1 });
    };
    const tables = createRelayedTables({
        store: { readTable: () => answer("read"), waitForChanges: () => answer("wait") },
        news: { isLoaded: () => false, readRowSources: () => ({ role, nodes }) },
        clock,
        random: createRandom(1),
        log: createLog({ write: () => undefined }),
    });
    stops.push(() => tables.dispose());
    return { tables, calls };
}

describe("tables that are read through a relay", () => {
    afterEach(() => stops.splice(0).forEach(stop => stop()));

    it("give all rows, then the changes as they come, without a call to the store", async () => {
        const relay = await startRelay("relay");
        recordAnswer(relay.snapshot, { rows: [makeRow("i-1", 3), makeRow("i-2", 4)], revision: 5 }, 0, true);
        const { tables, calls } = createTables([relay.identity]);
        const whole = (await tables.readTable(TABLE))._unsafeUnwrap();
        assert.deepEqual([whole.rows.map(({ key }) => key), whole.revision], [["i-1", "i-2"], 5]);
        const changes = tables.waitForChanges(TABLE, 5, 1_000);
        setTimeout(() => recordAnswer(relay.snapshot, { rows: [makeRemovedRow("i-1", 7)], revision: 7 }), 50);
        const answer = (await changes)._unsafeUnwrap();
        assert.deepEqual(answer.rows, [makeRemovedRow("i-1", 7)]);
        assert.equal(answer.revision, 7);
        assert.deepEqual(calls, []);
    });

    it("say how old the rows are: never younger than the store's answer", async () => {
        const relay = await startRelay("relay");
        recordAnswer(relay.snapshot, { revision: 5 }, 700, true);
        const { tables } = createTables([relay.identity]);
        const answer = (await tables.readTable(TABLE))._unsafeUnwrap();
        assert.ok((answer.askedAfterMs ?? 0) <= -700, `${answer.askedAfterMs}`);
        assert.ok((answer.askedAfterMs ?? 0) > -1_000, `${answer.askedAfterMs}`);
    });

    it("come from the next relay, and then from the store, when a relay dies or lost the store", async () => {
        const [dead, stale, failing] = [await startRelay("a"), await startRelay("b"), await startRelay("c")];
        dead.server.close();
        recordAnswer(stale.snapshot, { revision: 5 }, 4_000, true);
        recordAnswer(failing.snapshot, { revision: 5 }, 0, true);
        failing.snapshot.recordFailure();
        const { tables, calls } = createTables([dead, stale, failing].map(({ identity }) => identity));
        for (let attempt = 0; attempt < 3; attempt++) {
            const result = await tables.readTable(TABLE);
            assert.equal(result._unsafeUnwrapErr().kind, FailureKind.RelayUnavailable);
        }
        assert.equal((await tables.readTable(TABLE))._unsafeUnwrap().revision, 50);
        assert.deepEqual(calls, ["read"]);
    });

    // Guards against: the waits for silent relays, one after the other, exceed the bound on a change of endpoints (DRAIN).
    it("come from the store soon after relays fall silent, and not once each of them was waited for", async () => {
        const sound = await startRelay("sound");
        recordAnswer(sound.snapshot, { revision: 5 }, 800, true);
        const silent = await Promise.all(
            ["a", "b", "c"].map(async node => {
                const relay = await startRelay(node);
                relay.server.removeAllListeners("request");
                return relay.identity;
            }),
        );
        const nodes = [sound.identity];
        const { tables, calls } = createTables(nodes);
        assert.equal((await tables.readTable(TABLE))._unsafeUnwrap().revision, 5);
        const currentAtMs = performance.now() - 800;
        nodes.splice(0, 1, ...silent);
        const readStaleMs = () => performance.now() - currentAtMs;
        for (let isRead = false; !isRead && readStaleMs() < 3 * DRAIN_BOUND_MS;) {
            isRead = (await tables.waitForChanges(TABLE, 5, 800)).isOk();
        }
        const staleMs = readStaleMs();
        assert.deepEqual(calls, ["wait"]);
        assert.ok(staleMs < DRAIN_BOUND_MS, `${staleMs} ms`);
    });

    it("come from relays again while the store fails a node whose rows are stale", async () => {
        const relay = await startRelay("relay");
        recordAnswer(relay.snapshot, { revision: 5 }, 1_000, true);
        const refused = err(createFailure(FailureKind.StoreUnavailable, "refused"));
        const { tables, calls } = createTables([relay.identity], refused);
        assert.ok((await tables.readTable(TABLE)).isOk());
        await clock.waitMs(1_300);
        assert.ok((await tables.waitForChanges(TABLE, 5, 0)).isErr());
        recordAnswer(relay.snapshot, { revision: 6 });
        assert.equal((await tables.waitForChanges(TABLE, 5, 0))._unsafeUnwrap().revision, 6);
        assert.deepEqual(calls, ["wait"]);
    });

    it("are not taken from a relay that is behind what this node has read", async () => {
        const [ahead, behind] = [await startRelay("a"), await startRelay("b")];
        recordAnswer(ahead.snapshot, { revision: 9 }, 0, true);
        recordAnswer(behind.snapshot, { revision: 6 }, 0, true);
        const { tables } = createTables([ahead.identity, behind.identity]);
        assert.equal((await tables.readTable(TABLE))._unsafeUnwrap().revision, 9);
        ahead.snapshot.recordFailure();
        assert.ok((await tables.waitForChanges(TABLE, 9, 50)).isErr());
        assert.ok((await tables.waitForChanges(TABLE, 9, 50)).isErr());
        assert.equal((await tables.waitForChanges(TABLE, 9, 50))._unsafeUnwrap().revision, 50);
    });

    it("are read whole again if the relay no longer has the changes", async () => {
        const relay = await startRelay("relay");
        recordAnswer(relay.snapshot, { rows: [makeRow("i-1", 8)], revision: 9 }, 0, true);
        const { tables } = createTables([relay.identity]);
        const result = await tables.waitForChanges(TABLE, 4, 50);
        assert.equal(result._unsafeUnwrapErr().kind, FailureKind.HistoryLost);
    });

    it("come from the store at a reader, and from another node while the store refuses it", async () => {
        const other = await startRelay("other");
        recordAnswer(other.snapshot, { revision: 60 }, 0, true);
        const refused = err(createFailure(FailureKind.StoreUnavailable, "refused"));
        const { tables, calls } = createTables([other.identity], refused, RowRole.Reader);
        assert.equal((await tables.readTable(TABLE))._unsafeUnwrapErr().kind, FailureKind.StoreUnavailable);
        assert.equal((await tables.readTable(TABLE))._unsafeUnwrap().revision, 60);
        assert.deepEqual(calls, ["read"]);
    });
});

describe("the snapshot of a table", () => {
    it("forgets removed rows after a while, and then gives an older reader the whole table", () => {
        const manual = createManualClock();
        const snapshot = createTableSnapshot(manual);
        const record = (answer: Partial<TableRows>, isWholeTable = false) =>
            snapshot.recordAnswer(
                { rows: [], revision: 1, storeNowMs: 0, ...answer },
                { askedAt: readInstant(manual), isWholeTable, isStoreRecovering: false },
            );
        record({ rows: [makeRow("i-1", 1), makeRow("i-2", 1)], revision: 1 }, true);
        record({ rows: [makeRemovedRow("i-1", 2)], revision: 2 });
        assert.deepEqual(snapshot.readRows(1)?.rows, [makeRemovedRow("i-1", 2)]);
        manual.advanceMs(31_000);
        record({ revision: 3 });
        const answer = snapshot.readRows(1);
        assert.equal(answer?.isWholeTable, true);
        assert.deepEqual(answer?.rows, [makeRow("i-2", 1)]);
        assert.equal(snapshot.readRows(2)?.isWholeTable, false);
    });

    it("ages while its machine is suspended", () => {
        const manual = createManualClock();
        let suspendedMs = 0;
        const snapshot = createTableSnapshot({ ...manual, readWallMs: () => manual.readWallMs() + suspendedMs });
        snapshot.recordAnswer(
            { rows: [], revision: 1, storeNowMs: 0 },
            { askedAt: readInstant(manual), isWholeTable: true, isStoreRecovering: false },
        );
        suspendedMs = 5_000;
        assert.equal(snapshot.readRows(1)?.ageMs, 5_000);
    });
});
