import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createFakeTable } from "../../nodes/_testing/createFakeTable";
import type { WatchedTablePort } from "../../ports/watchedTable";
import { createCountedTables } from "./createCountedTables";
import { createGatewayMetrics } from "../process/createGatewayMetrics";

describe("counted tables", () => {
    it("count each call by its kind and outcome", async () => {
        const metrics = createGatewayMetrics();
        const table = createFakeTable().createClient(createManualClock());
        const unused: WatchedTablePort = {
            readTable: () => new Promise(() => undefined),
            waitForChanges: () => new Promise(() => undefined),
        };
        const tables = createCountedTables({ ...unused, ...table }, metrics);
        await tables.readRow("a");
        await tables.commitTransaction({ token: "t", conditions: [{ key: "a", version: 7 }], writes: [] });
        const text = await metrics.formatMetrics();
        assert.match(text, /redwinglift_store_calls_total\{call="read row",outcome="ok"\} 1/);
        assert.match(text, /redwinglift_store_calls_total\{call="commit",outcome="store_conflict"\} 1/);
    });
});
