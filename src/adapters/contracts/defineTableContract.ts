/**
 * @module The contract of the table service.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../../base/failure";
import type { RowCondition, RowWrite, TablePort, TableRow } from "../../ports/table";
import type { ContractSubject } from "./contractSubject";
import { defineFaultCases } from "./defineFaultCases";
import { FAULT_CASES } from "./faultCases";

/** A table adapter and a look at the rows behind it. */
export interface TableSubject extends ContractSubject<TablePort> {
    readRowBehind(key: string): TableRow | undefined;
}

/**
 * Defines the tests that every table adapter must pass.
 *
 * @param name - The adapter's name in the report
 * @param createSubject - Builds an adapter over an empty table; `writesPerSecond` limits the service
 * @example
 * defineTableContract("The HTTP table", createSubject);
 */
export function defineTableContract(
    name: string,
    createSubject: (options?: { readonly writesPerSecond?: number }) => Promise<TableSubject>,
): void {
    const withSubject = (check: (subject: TableSubject) => Promise<void>) => async () => {
        const subject = await createSubject();
        try {
            await check(subject);
        } finally {
            subject.dispose();
        }
    };
    const commit = (
        { port }: TableSubject,
        writes: readonly RowWrite[],
        conditions: readonly RowCondition[] = [],
        token = "token",
    ) => port.commitTransaction({ token, conditions, writes });

    void describe(`${name} keeps rows`, () => {
        void it(
            "and gives back value, version and token",
            withSubject(async subject => {
                const versions = (await commit(subject, [{ key: "a", value: "1" }], [], "t-1"))._unsafeUnwrap();
                const row = (await subject.port.readRow("a"))._unsafeUnwrap();
                assert.deepEqual(row, { key: "a", value: "1", version: versions[0], token: "t-1" });
                assert.equal((await subject.port.readRow("b"))._unsafeUnwrap(), undefined);
            }),
        );
        void it(
            "with versions that rise, also over a deletion",
            withSubject(async subject => {
                const [first] = (await commit(subject, [{ key: "a", value: "1" }]))._unsafeUnwrap();
                await commit(subject, [{ key: "a", value: undefined }]);
                assert.equal((await subject.port.readRow("a"))._unsafeUnwrap(), undefined);
                const [second] = (await commit(subject, [{ key: "a", value: "2" }]))._unsafeUnwrap();
                assert.ok(second! > first!);
            }),
        );
        void it(
            "and lists them by prefix in key order, page by page",
            withSubject(async subject => {
                const keys = ["p/b", "p/a", "q/a", "p/c", "p/ü &?=%"];
                await commit(
                    subject,
                    keys.map(key => ({ key, value: key })),
                );
                const first = (await subject.port.listRows("p/", { limit: 2 }))._unsafeUnwrap();
                const rest = (await subject.port.listRows("p/", { after: "p/b" }))._unsafeUnwrap();
                assert.deepEqual(
                    [...first, ...rest].map(row => row.value),
                    ["p/a", "p/b", "p/c", "p/ü &?=%"],
                );
            }),
        );
    });

    void describe(`${name} commits transactions`, () => {
        void it(
            "as a whole or not at all",
            withSubject(async subject => {
                await commit(subject, [{ key: "a", value: "1" }]);
                const writes = [
                    { key: "a", value: "2" },
                    { key: "b", value: "2" },
                ];
                const conflict = await commit(subject, writes, [{ key: "a", version: undefined }]);
                assert.equal(conflict._unsafeUnwrapErr().kind, FailureKind.StoreConflict);
                assert.deepEqual(conflict._unsafeUnwrapErr().details, { keys: ["a"] });
                assert.equal(subject.readRowBehind("a")?.value, "1");
                assert.equal(subject.readRowBehind("b"), undefined);
            }),
        );
        void it(
            "so that of many racing on one version exactly one wins",
            withSubject(async subject => {
                const races = Array.from({ length: 20 }, (_, index) =>
                    commit(
                        subject,
                        [{ key: "a", value: `${index}` }],
                        [{ key: "a", version: undefined }],
                        `t-${index}`,
                    ),
                );
                const winners = (await Promise.all(races)).flatMap((result, index) => (result.isOk() ? [index] : []));
                assert.equal(winners.length, 1);
                assert.equal(subject.readRowBehind("a")?.token, `t-${winners[0]}`);
            }),
        );
        void it("and is unavailable, with a retry hint, over the write limit", async context => {
            const subject = await createSubject({ writesPerSecond: 2 });
            context.after(() => subject.dispose());
            const results = await Promise.all(
                [1, 2, 3, 4, 5, 6].map(index => commit(subject, [{ key: `k${index}`, value: "1" }])),
            );
            const refused = results.filter(result => result.isErr()).map(result => result._unsafeUnwrapErr());
            assert.ok(refused.length >= 3);
            assert.ok(refused.every(failure => failure.kind === FailureKind.StoreUnavailable && failure.retryAfterMs));
            assert.equal(
                [1, 2, 3, 4, 5, 6].filter(index => subject.readRowBehind(`k${index}`)).length,
                6 - refused.length,
            );
        });
    });

    defineFaultCases<TableSubject>({
        title: `${name}: commits`,
        createSubject,
        runCall: (subject, label) => commit(subject, [{ key: label, value: "1" }], [], label),
        countEffects: (subject, label) => (subject.readRowBehind(label)?.token === label ? 1 : 0),
        expectFailure: (failure, { isKnownWithoutEffect }) =>
            assert.equal(
                failure.kind,
                isKnownWithoutEffect ? FailureKind.StoreUnavailable : FailureKind.StoreOutcomeUnknown,
            ),
    });

    void describe(`${name}: reads under faults`, () => {
        for (const { name: caseName, rule } of FAULT_CASES) {
            void it(
                `fail as unavailable, and never give another row, when ${caseName}`,
                withSubject(async subject => {
                    await commit(subject, [
                        { key: "a", value: "1" },
                        { key: "b", value: "2" },
                    ]);
                    assert.equal((await subject.port.readRow("a"))._unsafeUnwrap()?.value, "1");
                    subject.faults.setFaults([rule]);
                    const read = await subject.port.readRow("b");
                    assert.equal(read._unsafeUnwrapErr().kind, FailureKind.StoreUnavailable);
                }),
            );
        }
    });
}
