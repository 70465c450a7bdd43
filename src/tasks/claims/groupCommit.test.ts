import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { FailureKind } from "../../base/failure";
import { createFakeStore, StoreFault } from "../execution/_testing/createFakeStore";
import { runVirtualTime } from "../execution/_testing/runVirtualTime";
import { createGroupCommitTask } from "./createGroupCommitTask";

const createFixture = (drawFault?: () => StoreFault) => {
    const clock = createManualClock();
    const store = createFakeStore({ clock, drawFault });
    return { clock, store, commits: createGroupCommitTask({ table: store.table, clock }) };
};

const buildInsert = (key: string, value: string) => ({
    conditions: [{ key, version: undefined }],
    writes: [{ key, value }],
});

describe("group commit", () => {
    it("commits entries of one time window in one transaction and returns the row versions of each", async () => {
        const { clock, store, commits } = createFixture();
        const entries = Array.from({ length: 100 }, (_unused, index) =>
            commits.commitEntry(buildInsert(`k${index}`, "v")),
        );
        const results = await runVirtualTime(clock, Promise.all(entries));
        assert.equal(store.counts.commits, 1);
        results.forEach((result, index) =>
            assert.deepEqual(result._unsafeUnwrap(), [store.rows.get(`k${index}`)?.version]),
        );
    });

    it("commits all other entries if the condition of one entry fails", async () => {
        const { clock, store, commits } = createFixture();
        await runVirtualTime(clock, commits.commitEntry(buildInsert("k3", "first")));
        const entries = Array.from({ length: 8 }, (_unused, index) =>
            commits.commitEntry(buildInsert(`k${index}`, "v")),
        );
        const results = await runVirtualTime(clock, Promise.all(entries));
        results.forEach((result, index) => assert.equal(result.isErr(), index === 3));
        assert.equal(results[3]?._unsafeUnwrapErr().kind, FailureKind.StoreConflict);
        assert.equal(store.rows.get("k3")?.value, "first");
    });

    it("never combines two entries for the same row in one transaction", async () => {
        const { clock, store, commits } = createFixture();
        const entries = ["first", "second"].map(value => commits.commitEntry(buildInsert("k", value)));
        const results = await runVirtualTime(clock, Promise.all(entries));
        assert.deepEqual(
            results.map(result => result.isOk()),
            [true, false],
        );
        assert.equal(store.rows.get("k")?.value, "first");
    });

    it("reports the correct outcome of every entry despite lost responses, late writes and refusals", async () => {
        let unknown = 0;
        for (let seed = 1; seed <= 60; seed++) {
            const random = createRandom(seed);
            const faults = Object.values(StoreFault);
            const { clock, store, commits } = createFixture(() =>
                random.drawFraction() < 0.4 ? (faults[random.drawInteger(0, 4)] as StoreFault) : StoreFault.None,
            );
            const entries = Array.from({ length: 20 }, async (_unused, index) => {
                await clock.waitMs(random.drawInteger(0, 200));
                const key = `k${index % 15}`;
                return { key, value: `v${index}`, result: await commits.commitEntry(buildInsert(key, `v${index}`)) };
            });
            const results = await runVirtualTime(clock, Promise.all(entries));
            await runVirtualTime(clock, clock.waitMs(1_000));
            for (const { key, value, result } of results) {
                const isStored = store.rows.get(key)?.value === value;
                const isUnknown = result.isErr() && result.error.kind === FailureKind.StoreOutcomeUnknown;
                unknown += isUnknown ? 1 : 0;
                assert.ok(isUnknown || isStored === result.isOk(), `seed ${seed}: ${value} has a wrong result`);
            }
        }
        assert.ok(unknown > 0 && unknown < 60 * 20 * 0.3, `${unknown} of 1200 outcomes stayed unknown`);
    });
});
