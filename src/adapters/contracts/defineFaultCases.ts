/**
 * @module The fault cases as tests of one call with an effect.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { ContractSubject } from "./contractSubject";
import { FAULT_CASES, type FaultCase } from "./faultCases";
import { waitUntil } from "./waitUntil";

/** A call with an effect and how to judge it. */
export interface FaultedCall<Subject> {
    readonly title: string;
    readonly createSubject: () => Promise<Subject>;
    /** Makes a call; `label` tells one call's effect from another's. */
    readonly runCall: (subject: Subject, label: string) => Promise<Result<unknown, Failure>>;
    /** Counts effects, looking behind the adapter. */
    readonly countEffects: (subject: Subject, label: string) => number;
    /** Checks what the adapter reported. */
    readonly expectFailure: (failure: Failure, faultCase: FaultCase) => void;
}

/**
 * Defines one test for each fault case of a call.
 *
 * @param call - The call
 * @example
 * defineFaultCases({ title: "commits", createSubject, runCall, countEffects, expectFailure });
 */
export function defineFaultCases<Subject extends ContractSubject<unknown>>(call: FaultedCall<Subject>): void {
    void describe(`${call.title} under faults`, () => {
        for (const faultCase of FAULT_CASES) {
            void it(`are reported truthfully when ${faultCase.name} (${faultCase.stage} the effect)`, async () => {
                const subject = await call.createSubject();
                try {
                    await checkCase(subject, call, faultCase);
                } finally {
                    subject.dispose();
                }
            });
        }
    });
}

async function checkCase<Subject extends ContractSubject<unknown>>(
    subject: Subject,
    call: FaultedCall<Subject>,
    faultCase: FaultCase,
): Promise<void> {
    const first = await call.runCall(subject, "first");
    assert.ok(first.isOk(), "the call before the fault succeeds");
    subject.faults.setFaults([faultCase.rule]);
    await sleep(faultCase.noticedAfterMs ?? 0);
    const faulted = await call.runCall(subject, "faulted");
    assert.ok(faulted.isErr(), "the fault is reported");
    call.expectFailure(faulted.error, faultCase);
    const expectedEffects = faultCase.takesEffect ? 1 : 0;
    await waitUntil(() => call.countEffects(subject, "faulted") === expectedEffects, "the effect is as the case says");
    subject.faults.setFaults([]);
    const later = await call.runCall(subject, "later");
    assert.ok(later.isOk(), "the call after the fault succeeds");
    await waitUntil(() => call.countEffects(subject, "later") === 1, "the later call has its effect");
    assert.equal(call.countEffects(subject, "faulted"), expectedEffects, "nothing was repeated by itself");
}
