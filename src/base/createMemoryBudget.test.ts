import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createMemoryBudget } from "./createMemoryBudget";

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_048_576;

describe("a memory budget", () => {
    // Guards against: each holder stays within its own limit, and all of them together exceed the memory (LOST).
    it("is exceeded by one large and one small holder at most, and gives everything back", () => {
        const sizes = fc.array(fc.oneof(fc.nat({ max: 4 * MEBIBYTE }), fc.nat({ max: 64 * KIBIBYTE })), {
            maxLength: 200,
        });
        fc.assert(
            fc.property(sizes, fc.nat({ max: 40 }), (bytes, releasedEach) => {
                const budget = createMemoryBudget(32 * MEBIBYTE);
                const leases = bytes.map(size => {
                    const lease = budget.openLease();
                    lease.setBytes(size);
                    assert.ok(budget.countBytes() <= 36.1 * MEBIBYTE, `${budget.countBytes()}`);
                    return lease;
                });
                leases.filter((_lease, index) => index % (releasedEach + 1) === 0).forEach(lease => lease.release());
                leases.forEach(lease => lease.release());
                assert.equal(budget.countBytes(), 0);
            }),
        );
    });

    it("has room for small holders while large ones take all of theirs, and the other way round", () => {
        const budget = createMemoryBudget(32 * MEBIBYTE);
        while (budget.openLease().setBytes(4 * MEBIBYTE)) {
            // Large ones take all that they may.
        }
        assert.ok(budget.openLease().setBytes(64 * KIBIBYTE));
        const other = createMemoryBudget(32 * MEBIBYTE);
        while (other.openLease().setBytes(64 * KIBIBYTE)) {
            // Small ones take all that they may.
        }
        assert.ok(other.openLease().setBytes(4 * MEBIBYTE));
    });

    it("has room for the largest holder whenever it has room for another large one", () => {
        const budget = createMemoryBudget(32 * MEBIBYTE);
        const first = budget.openLease();
        assert.ok(first.setBytes(23 * MEBIBYTE));
        assert.ok(budget.openLease().setBytes(8 * MEBIBYTE));
        assert.equal(budget.openLease().setBytes(100 * KIBIBYTE), false);
        first.release();
        assert.ok(budget.openLease().setBytes(100 * KIBIBYTE));
    });

    it("lets waiting holders grow in order as others give back", () => {
        const budget = createMemoryBudget(MEBIBYTE);
        const [holder, other, ...waiting] = [1, 2, 3, 4].map(() => budget.openLease());
        assert.ok(holder !== undefined && other !== undefined);
        holder.setBytes(MEBIBYTE);
        other.growWhenFree(MEBIBYTE, () => undefined);
        const grown: number[] = [];
        waiting.forEach((lease, index) => lease.growWhenFree(MEBIBYTE, () => void grown.push(index)));
        assert.deepEqual(grown, []);
        holder.release();
        other.release();
        assert.deepEqual(grown, [0]);
        waiting[0]?.release();
        assert.deepEqual(grown, [0, 1]);
        waiting[1]?.release();
        assert.equal(budget.countBytes(), 0);
    });

    // Guards against: answers that are all half read wait for each other until their requests time out.
    it("lets one of those that wait go on beyond the limit, so that all come to an end", () => {
        const budget = createMemoryBudget(4 * MEBIBYTE);
        const leases = Array.from({ length: 12 }, () => budget.openLease());
        const ended = new Set<number>();
        const grow = (index: number, bytes: number) => {
            const lease = leases[index];
            if (bytes > 2 * MEBIBYTE) {
                ended.add(index);
                lease?.release();
                return;
            }
            if (lease?.setBytes(bytes) === true) {
                setImmediate(() => grow(index, bytes + 100 * KIBIBYTE));
            } else {
                lease?.growWhenFree(bytes, () => setImmediate(() => grow(index, bytes + 100 * KIBIBYTE)));
            }
        };
        leases.forEach((_lease, index) => grow(index, 100 * KIBIBYTE));
        return new Promise<void>(resolve => {
            const check = () => (ended.size === leases.length ? resolve() : setImmediate(check));
            check();
        }).then(() => assert.equal(budget.countBytes(), 0));
    });

    it("calls nothing after a holder has released its bytes", () => {
        const budget = createMemoryBudget(MEBIBYTE);
        const [holder, first, second] = [1, 2, 3].map(() => budget.openLease());
        holder?.setBytes(MEBIBYTE);
        first?.growWhenFree(MEBIBYTE, () => undefined);
        let isCalled = false;
        second?.growWhenFree(MEBIBYTE, () => (isCalled = true));
        second?.release();
        holder?.release();
        first?.release();
        assert.equal(isCalled, false);
    });
});
