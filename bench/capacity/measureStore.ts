/**
 * @module What claims and leases cost the table.
 */
import { createManualClock } from "../../src/base/createManualClock";
import { createRandom } from "../../src/base/createRandom";
import { ClaimState } from "../../src/decisions/outcomes/claims/claimRecord";
import { ClaimResultKind } from "../../src/tasks/claims/claimClient";
import { createClaimTask } from "../../src/tasks/claims/createClaimTask";
import { createGroupCommitTask } from "../../src/tasks/claims/createGroupCommitTask";
import { createFakeStore } from "../../src/tasks/execution/_testing/createFakeStore";
import { flushTasks, runVirtualTime } from "../../src/tasks/execution/_testing/runVirtualTime";
import { createLeaseTask } from "../../src/tasks/leases/createLeaseTask";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { readProcessorMicros } from "./_lib/measureProcessor";

const STORE_LATENCY_MS = 15;
const CLAIM_RATES = [0.5, 2, 8, 16, 64, 256];
const CLAIM_SECONDS = 20;
const EXECUTION_MS = 1_000;
const LEASE_SECONDS = 200;

interface ClaimResult {
    readonly rate: number;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly processorMicros: number;
}

/**
 * Measures one node's transactions and reads by the rate of claims, and those of a lease's holder and of one that waits.
 *
 * @returns The figures
 * @example
 * await measureStore();
 */
export async function measureStore(): Promise<Readonly<Record<string, NewFigure>>> {
    const claims: ClaimResult[] = [];
    for (const rate of CLAIM_RATES) {
        claims.push(await measureClaims(rate));
    }
    const pick = (read: (result: ClaimResult) => number): readonly Point[] =>
        claims.map(result => [result.rate, read(result)]);
    const { holder, waiter } = await measureLeases();
    return {
        claimWrites: {
            ...fitFigure(
                {
                    what: "transactions a second of one node, by claims a second (a curve: groups fill up)",
                    unit: "writes/s",
                },
                pick(result => result.writesPerSecond),
            ),
        },
        claimReads: fitFigure(
            { what: "reads a second of one node, for each claim a second", unit: "reads" },
            pick(result => result.readsPerSecond),
        ),
        claimProcessor: fitFigure(
            { what: "processor time in a second, for each claim a second (fake store included)", unit: "µs" },
            pick(result => result.processorMicros),
        ),
        leaseWrites: { what: "a held lease of 10 s", unit: "writes/s", value: holder.writes },
        leaseHolderReads: { what: "reads by its holder", unit: "reads/s", value: holder.reads },
        leaseWaiterReads: { what: "reads by a node that waits for a held lease", unit: "reads/s", value: waiter.reads },
        leaseWaiterWrites: { what: "writes by it", unit: "writes/s", value: waiter.writes },
    };
}

async function measureClaims(rate: number): Promise<ClaimResult> {
    const clock = createManualClock();
    const random = createRandom(1);
    const { table, objects, counts } = createFakeStore({ clock, latencyMs: STORE_LATENCY_MS });
    const commits = createGroupCommitTask({ table, clock });
    const claims = createClaimTask({ nodeId: "node", table, objects, commits, clock });
    const runClaim = async (index: number) => {
        await clock.waitMs(random.drawInteger(0, CLAIM_SECONDS * 1_000));
        const nowMs = clock.readMonotonicMs();
        const request = {
            accountName: "account",
            idempotencyKey: `key-${index}`,
            requestId: `request-${index}`,
            body: "body",
            deadlineAtMs: nowMs + 60_000,
            waitUntilMs: nowMs + 5_000,
        };
        await claims.lookUpKey(request);
        const answer = (await claims.acquireClaim(request))._unsafeUnwrap();
        await clock.waitMs(EXECUTION_MS);
        if (answer.kind === ClaimResultKind.Held) {
            await answer.claim.settle({ state: ClaimState.Ran, outcome: "done" }, 1_000);
        }
    };
    const before = process.cpuUsage();
    const ended = Promise.all(Array.from({ length: rate * CLAIM_SECONDS }, (_unused, index) => runClaim(index)));
    await runVirtualTime(clock, ended);
    return {
        rate,
        writesPerSecond: counts.commits / CLAIM_SECONDS,
        readsPerSecond: counts.reads / CLAIM_SECONDS,
        processorMicros: readProcessorMicros(before) / CLAIM_SECONDS,
    };
}

async function measureLeases() {
    const clock = createManualClock();
    const { table, counts: holderCounts } = createFakeStore({ clock, latencyMs: STORE_LATENCY_MS });
    const waiterCounts = { reads: 0, writes: 0 };
    const holder = createLeaseTask({ nodeId: "holder", table, clock });
    await runVirtualTime(clock, holder.acquireLease("move/chat", { waitMs: 15_000 }));
    const waiter = createLeaseTask({
        nodeId: "waiter",
        table: {
            readRow: key => {
                waiterCounts.reads++;
                return table.readRow(key);
            },
            listRows: (prefix, page) => table.listRows(prefix, page),
            commitTransaction: transaction => {
                waiterCounts.writes++;
                return table.commitTransaction(transaction);
            },
        },
        clock,
    });
    const before = { ...holderCounts };
    let isOver = false;
    const over = clock.waitMs(LEASE_SECONDS * 1_000).then(() => (isOver = true));
    const wait = async (): Promise<void> => {
        while (!isOver) {
            await waiter.acquireLease("move/chat", { waitMs: 15_000 });
        }
    };
    void wait();
    await runVirtualTime(clock, over);
    holder.dispose();
    waiter.dispose();
    await flushTasks();
    const reads = holderCounts.reads - before.reads - waiterCounts.reads;
    const writes = holderCounts.commits - before.commits - waiterCounts.writes;
    return {
        holder: { reads: reads / LEASE_SECONDS, writes: writes / LEASE_SECONDS },
        waiter: { reads: waiterCounts.reads / LEASE_SECONDS, writes: waiterCounts.writes / LEASE_SECONDS },
    };
}
