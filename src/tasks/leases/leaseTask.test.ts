import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock, type ManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { type Failure, FailureKind } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import {
    createFakeTable,
    type FakeTable,
    type FakeTableClient,
    TableFault,
} from "../../nodes/_testing/createFakeTable";
import { runClock, runUntilSettled } from "../../nodes/_testing/runClock";
import { type ModelRunnerPort, type RunnerOrder, RunnerOrderKind } from "../../ports/modelRunner";
import { createLeaseTask, type LeaseTask } from "./createLeaseTask";
import { createOrderClient } from "./createOrderClient";
import type { LeaseHandle } from "./leaseClient";

interface Holder {
    readonly task: LeaseTask;
    readonly table: FakeTableClient;
    pause(): void;
    resume(): void;
}

/** Creates a holder whose timers do not fire while it is paused. */
function createHolder(nodeId: string, clock: ManualClock, table: FakeTable): Holder {
    let resumed: Promise<void> | undefined;
    let resolveResumed = () => undefined as void;
    const pausableClock = {
        ...clock,
        waitMs: async (delayMs: number) => {
            await clock.waitMs(delayMs);
            await resumed;
        },
    };
    const client = table.createClient(pausableClock);
    return {
        table: client,
        task: createLeaseTask({ nodeId, table: client, clock: pausableClock }),
        pause: () => {
            resumed = new Promise(resolve => {
                resolveResumed = resolve;
            });
        },
        resume: () => {
            resolveResumed();
            resumed = undefined;
        },
    };
}

function createTwoHolders() {
    const clock = createManualClock();
    const table = createFakeTable();
    const [left, right] = [createHolder("left", clock, table), createHolder("right", clock, table)];
    const acquire = async (holder: Holder, waitMs = 0) =>
        runUntilSettled(clock, holder.task.acquireLease("job", { waitMs }));
    return { clock, table, left, right, acquire };
}

describe("leases in the table", () => {
    it("are held by one node, are renewed, and can be acquired by another right after a release", async () => {
        const { clock, left, right, acquire } = createTwoHolders();
        const held = (await acquire(left))._unsafeUnwrap();
        await runClock(clock, 30_000);
        assert.ok(held.checkHeld().isOk());
        const refused = (await acquire(right))._unsafeUnwrapErr();
        assert.equal(refused.kind, FailureKind.LeaseLost);
        assert.match(String(refused.details?.["holderId"]), /^left\//);
        await runUntilSettled(clock, held.release());
        assert.ok(held.checkHeld().isErr());
        assert.equal((await acquire(right))._unsafeUnwrap().epoch, held.epoch + 1);
    });

    it("are taken over after a holder dies, within the duration, the margin and one poll", async () => {
        const { clock, left, right, acquire } = createTwoHolders();
        const held = (await acquire(left))._unsafeUnwrap();
        left.task.dispose();
        const startedMs = clock.readMonotonicMs();
        const taken = (await acquire(right, 30_000))._unsafeUnwrap();
        assert.equal(taken.epoch, held.epoch + 1);
        assert.ok(clock.readMonotonicMs() - startedMs < 14_000);
    });

    it("are lost by a paused holder before another node gets them, and its next check reports the loss", async () => {
        const { clock, left, right, acquire } = createTwoHolders();
        const held = (await acquire(left))._unsafeUnwrap();
        left.pause();
        const taken = (await acquire(right, 30_000))._unsafeUnwrap();
        assert.ok(held.checkHeld().isErr(), "checked right after resuming, before anything else ran");
        assert.ok(taken.checkHeld().isOk());
        left.resume();
        await runClock(clock, 5_000);
        assert.ok(taken.checkHeld().isOk());
    });

    it("are lost by a holder whose VM was suspended while its monotonic clock stood still", async () => {
        const clock = createManualClock();
        const table = createFakeTable();
        let suspendedMs = 0;
        const suspendableClock = { ...clock, readWallMs: () => clock.readWallMs() + suspendedMs };
        const task = createLeaseTask({
            nodeId: "left",
            table: table.createClient(suspendableClock),
            clock: suspendableClock,
        });
        const held = (await runUntilSettled(clock, task.acquireLease("job")))._unsafeUnwrap();
        await runClock(clock, 12_000);
        assert.ok(held.checkHeld().isOk());
        suspendedMs = 11_000;
        assert.ok(held.checkHeld().isErr());
    });

    it("expire while the store is unavailable, and can be acquired again once it is back", async () => {
        const { clock, left, acquire } = createTwoHolders();
        const held = (await acquire(left))._unsafeUnwrap();
        left.table.setFault(TableFault.Down);
        await runClock(clock, 9_000);
        assert.ok(held.checkHeld().isOk());
        await runClock(clock, 3_000);
        assert.ok(held.checkHeld().isErr());
        assert.equal((await acquire(left))._unsafeUnwrapErr().kind, FailureKind.StoreUnavailable);
        left.table.setFault(TableFault.None);
        assert.equal((await acquire(left, 30_000))._unsafeUnwrap().epoch, held.epoch + 1);
    });

    for (const fault of [TableFault.AnswerLostAfterEffect, TableFault.AnswerLostBeforeEffect]) {
        it(`are either held or refused, as reported, when every store call fails with ${fault}`, async () => {
            const { left, right, acquire } = createTwoHolders();
            left.table.setFault(fault);
            const result = await acquire(left);
            assert.ok(result.isOk() || result.error.kind === FailureKind.StoreOutcomeUnknown);
            const other = await acquire(right);
            assert.notEqual(other.isOk(), result.isOk(), "exactly one node holds it");
        });
    }

    it("make a fenced table write fail once another node has taken over", async () => {
        const { clock, table, left, right, acquire } = createTwoHolders();
        const held = (await acquire(left))._unsafeUnwrap();
        const condition = held.buildFenceCondition();
        left.pause();
        await acquire(right, 30_000);
        const late = await table
            .createClient(clock)
            .commitTransaction({ token: "late", conditions: [condition], writes: [{ key: "job/1", value: "x" }] });
        assert.equal(late._unsafeUnwrapErr().kind, FailureKind.StoreConflict);
    });

    it("never have two holders in seeded runs with pauses, outages and lost responses", async () => {
        for (let seed = 1; seed <= 12; seed++) {
            await runRandomly(seed);
        }
    });
});

async function runRandomly(seed: number): Promise<void> {
    const random = createRandom(seed);
    const clock = createManualClock();
    const table = createFakeTable();
    const holders = ["a", "b", "c"].map(name => createHolder(name, clock, table));
    const handles = new Map<Holder, LeaseHandle>();
    const epochs = new Map<number, Holder>();
    const acquiring = new Set<Holder>();
    for (let turn = 0; turn < 60; turn++) {
        const holder = holders[random.drawInteger(0, 2)]!;
        const faults = Object.values(TableFault).filter(fault => fault !== TableFault.Silent);
        holder.table.setFault(random.drawFraction() < 0.5 ? TableFault.None : faults[random.drawInteger(0, 3)]!);
        holder.table.setDelay(random.drawInteger(0, 900));
        if (random.drawFraction() < 0.3) {
            holder.pause();
        } else {
            holder.resume();
        }
        if (!acquiring.has(holder)) {
            acquiring.add(holder);
            void holder.task.acquireLease("job", { waitMs: 5_000 }).then(result => {
                acquiring.delete(holder);
                result.map(handle => {
                    assert.ok(!epochs.has(handle.epoch), `seed ${seed}: epoch ${handle.epoch} twice`);
                    epochs.set(handle.epoch, holder);
                    return handles.set(holder, handle);
                });
            });
        }
        if (random.drawFraction() < 0.2) {
            void handles.get(holder)?.release();
        }
        for (let step = 0; step < 20; step++) {
            await runClock(clock, 100, 100);
            const holding = [...handles.values()].filter(handle => handle.checkHeld().isOk());
            assert.ok(holding.length <= 1, `seed ${seed}, turn ${turn}: ${holding.length} holders`);
        }
    }
    assert.ok(epochs.size > 1, `seed ${seed}: the lease changed hands`);
}

describe("orders sent under a lease", () => {
    const endpoint = { endpointId: "runner-1" } as Endpoint;
    const createLease = (clock: ManualClock, isHeld = () => true): LeaseHandle => ({
        name: "move",
        epoch: 7,
        acquiredAtMs: clock.readMonotonicMs(),
        checkHeld: () => (isHeld() ? ok(7) : err(createFailure(FailureKind.LeaseLost, "lost"))),
        buildFenceCondition: () => ({ key: "lease/move", version: 1 }),
        whenEnded: new Promise(() => undefined),
        release: () => Promise.resolve(),
    });
    const createRunner = (answer: (order: RunnerOrder) => Promise<Result<void, Failure>>) => {
        const orders: { readonly order: RunnerOrder; readonly atMs: number }[] = [];
        let version = "v1";
        const clock = createManualClock();
        const runners = {
            sendOrder: (_endpoint: Endpoint, order: RunnerOrder) => {
                orders.push({ order, atMs: clock.readMonotonicMs() });
                version = order.argument;
                return answer(order);
            },
            readState: () => Promise.resolve(ok({ version, adapters: [], role: "", epoch: undefined })),
        } as unknown as ModelRunnerPort;
        return { clock, orders, client: createOrderClient({ runners, clock }) };
    };
    const load = (argument: string) => ({ kind: RunnerOrderKind.LoadVersion, argument, token: argument });

    it("carry the epoch and are sent at once to an endpoint that checks it", async () => {
        const { clock, orders, client } = createRunner(() => Promise.resolve(ok(undefined)));
        const lease = createLease(clock);
        const sent = client.sendFencedOrder({ endpoint, order: load("v2"), lease, checksFencing: true });
        assert.ok((await runUntilSettled(clock, sent)).isOk());
        assert.equal(orders[0]?.order.epoch, 7);
        assert.ok((orders[0]?.atMs ?? Infinity) <= 50);
    });

    it("wait for the maximum delivery time if the endpoint ignores the epoch, unless already in effect", async () => {
        const { clock, orders, client } = createRunner(() => Promise.resolve(ok(undefined)));
        const lease = createLease(clock);
        const common = { endpoint, lease, checksFencing: false };
        assert.ok((await runUntilSettled(clock, client.sendFencedOrder({ ...common, order: load("v1") }))).isOk());
        assert.equal(orders.length, 0, "v1 is in effect already");
        assert.ok((await runUntilSettled(clock, client.sendFencedOrder({ ...common, order: load("v2") }))).isOk());
        assert.ok((orders[0]?.atMs ?? 0) >= 5_000);
    });

    it("are not sent once the lease is lost", async () => {
        const { clock, orders, client } = createRunner(() => Promise.resolve(ok(undefined)));
        const lease = createLease(clock, () => clock.readMonotonicMs() < 1_000);
        const sent = client.sendFencedOrder({ endpoint, order: load("v2"), lease, checksFencing: false });
        assert.equal((await runUntilSettled(clock, sent))._unsafeUnwrapErr().kind, FailureKind.LeaseLost);
        assert.equal(orders.length, 0);
    });

    it("succeed when the response is lost but the endpoint's state shows the effect", async () => {
        const { clock, client } = createRunner(() => new Promise(() => undefined));
        const lease = createLease(clock);
        const sent = client.sendFencedOrder({ endpoint, order: load("v2"), lease, checksFencing: true });
        assert.ok((await runUntilSettled(clock, sent)).isOk());
    });

    it("wait until an earlier conflicting order can no longer arrive", async () => {
        const silent = err(createFailure(FailureKind.EndpointSilent, "silent"));
        const { clock, orders, client } = createRunner(() => Promise.resolve(silent));
        const lease = createLease(clock);
        const common = { endpoint, lease, checksFencing: false };
        const first = client.sendFencedOrder({ ...common, order: load("v2") });
        const second = client.sendFencedOrder({ ...common, order: load("v3") });
        await runUntilSettled(clock, Promise.all([first, second]));
        assert.equal(orders.length, 2);
        assert.ok(orders[1]!.atMs - orders[0]!.atMs >= 5_000);
    });
});
