/**
 * @module The contract of the object store.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../../base/failure";
import type { ObjectsPort } from "../../ports/objects";
import type { ContractSubject } from "./contractSubject";
import { defineFaultCases } from "./defineFaultCases";

/** An object store adapter and a look at the objects behind it. */
export interface ObjectsSubject extends ContractSubject<ObjectsPort> {
    readObjectBehind(key: string): Buffer | undefined;
}

/**
 * Defines the tests that every object store adapter must pass.
 *
 * @param name - The adapter's name in the report
 * @param createSubject - Builds an adapter over an empty store
 * @example
 * defineObjectsContract("The HTTP object store", createSubject);
 */
export function defineObjectsContract(name: string, createSubject: () => Promise<ObjectsSubject>): void {
    const withSubject = (check: (subject: ObjectsSubject) => Promise<void>) => async () => {
        const subject = await createSubject();
        try {
            await check(subject);
        } finally {
            subject.dispose();
        }
    };
    void describe(`${name} keeps objects`, () => {
        void it(
            "whole, in ranges, and replaced by the last write",
            withSubject(async ({ port }) => {
                const key = "results/a b/ü?#";
                await port.writeObject(key, Buffer.from("old"));
                await port.writeObject(key, Buffer.from("0123456789"));
                assert.equal((await port.readObject(key))._unsafeUnwrap().toString(), "0123456789");
                const range = await port.readObject(key, { start: 2, end: 5 });
                assert.equal(range._unsafeUnwrap().toString(), "234");
                const empty = await port.readObject(key, { start: 5, end: 5 });
                assert.equal(empty._unsafeUnwrap().length, 0);
            }),
        );
        void it(
            "of every byte value",
            withSubject(async ({ port }) => {
                const body = Buffer.from(Array.from({ length: 256 }, (_, index) => index));
                await port.writeObject("bytes", body);
                assert.deepEqual((await port.readObject("bytes"))._unsafeUnwrap(), body);
            }),
        );
        void it(
            "until they are deleted, which may be done twice",
            withSubject(async ({ port }) => {
                await port.writeObject("a", Buffer.from("1"));
                assert.ok((await port.deleteObject("a")).isOk());
                assert.ok((await port.deleteObject("a")).isOk());
                assert.equal((await port.readObject("a"))._unsafeUnwrapErr().kind, FailureKind.NotFound);
            }),
        );
        void it(
            "and lists their keys by prefix in order, page by page",
            withSubject(async ({ port }) => {
                for (const key of ["p/b", "p/a", "q/a", "p/c"]) {
                    await port.writeObject(key, Buffer.from(key));
                }
                const first = (await port.listObjects("p/", { limit: 2 }))._unsafeUnwrap();
                const rest = (await port.listObjects("p/", { after: "p/b" }))._unsafeUnwrap();
                assert.deepEqual([...first, ...rest], ["p/a", "p/b", "p/c"]);
            }),
        );
    });

    defineFaultCases<ObjectsSubject>({
        title: `${name}: writes`,
        createSubject,
        runCall: ({ port }, label) => port.writeObject(label, Buffer.from(label)),
        countEffects: (subject, label) => (subject.readObjectBehind(label)?.toString() === label ? 1 : 0),
        expectFailure: (failure, { isKnownWithoutEffect }) =>
            assert.equal(
                failure.kind,
                isKnownWithoutEffect ? FailureKind.StoreUnavailable : FailureKind.StoreOutcomeUnknown,
            ),
    });
}
