/**
 * @module The claim that a request holds, and how its outcome is recorded.
 */
import type { Clock } from "../../../base/clock";
import { startTask, type Step, waitFor } from "../../../base/csp";
import type { TableAnswer } from "../../../decisions/outcomes/claims/advanceClaim";
import {
    advanceSettlement,
    beginSettlement,
    type SettlementStep,
    SettlementStepKind,
} from "../../../decisions/outcomes/claims/advanceSettlement";
import type { ClaimOutcome, ClaimRecord } from "../../../decisions/outcomes/claims/claimRecord";
import type { Settlement } from "../../../decisions/outcomes/claims/decideSettlement";
import type { ObjectsPort } from "../../../ports/objects";
import type { TablePort } from "../../../ports/table";
import type { ClaimSettlement, HeldClaim } from "../claimClient";
import type { CommitClient } from "../commitClient";
import {
    MAXIMUM_INLINE_OUTCOME_CHARACTERS,
    MAXIMUM_SETTLEMENT_RETRY_DELAY_MS,
    SETTLEMENT_TIMEOUT_MS,
    STORE_RETRY_DELAY_MS,
} from "../constants";
import { waitForStore } from "../../../ports/waitForStore";
import { buildClaimEntry } from "./buildClaimEntry";
import { convertCommitResult } from "./convertCommitResult";
import { convertReadResult } from "./convertReadResult";

/** Dependencies of a held claim. */
export interface HeldClaimOptions {
    /** Key of the claim's row. */
    readonly key: string;
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly commits: CommitClient;
    readonly clock: Clock;
    /** Counts the settlements that are being recorded. */
    readonly counts: { unsettled: number };
    /** Called when the execution has ended, before its outcome is recorded. */
    readonly onEnded: () => void;
}

/** The request that holds the claim, and the row that it wrote last, if known. */
export interface ClaimOwner {
    readonly requestId: string;
    readonly record?: ClaimRecord;
    readonly version?: number;
}

/**
 * Creates the claim that a request holds.
 *
 * @param options - Key of the claim, store, group commit and clock
 * @param owner - The request that holds the claim
 * @returns The claim
 * @example
 * const claim = createHeldClaim(options, { requestId, record, version });
 */
export function createHeldClaim(options: HeldClaimOptions, owner: ClaimOwner): HeldClaim {
    return {
        settle: (settlement, waitMs) => {
            options.onEnded();
            const recorded = new Promise<boolean>(resolve => {
                startTask(`settle ${options.key}`, () => recordSettlement(options, owner, settlement, resolve));
            });
            return Promise.race([recorded, options.clock.waitMs(waitMs).then(() => false)]);
        },
    };
}

/** Records the settlement, retrying until it is recorded or `SETTLEMENT_TIMEOUT_MS` has passed. */
function* recordSettlement(
    options: HeldClaimOptions,
    owner: ClaimOwner,
    settlement: ClaimSettlement,
    resolve: (isRecorded: boolean) => void,
): Step<void> {
    const { requestId, record, version } = owner;
    options.counts.unsettled++;
    const giveUpAtMs = options.clock.readMonotonicMs() + SETTLEMENT_TIMEOUT_MS;
    let pauseMs = STORE_RETRY_DELAY_MS;
    let isRecorded = false;
    let known = record === undefined || version === undefined ? undefined : { record, version };
    while (!isRecorded && options.clock.readMonotonicMs() < giveUpAtMs) {
        const outcome = yield* storeOutcome(options, requestId, settlement.outcome);
        if (outcome.isStored) {
            isRecorded = yield* runSettlement(
                options,
                { requestId, state: settlement.state, outcome: outcome.outcome },
                known,
            );
            known = undefined;
        }
        if (!isRecorded) {
            yield* waitFor(options.clock.waitMs(pauseMs));
            pauseMs = Math.min(MAXIMUM_SETTLEMENT_RETRY_DELAY_MS, pauseMs * 2);
        }
    }
    options.counts.unsettled--;
    resolve(isRecorded);
}

/** Writes a large outcome to the object store; a small one will be stored in the claim's row. */
function* storeOutcome(
    options: HeldClaimOptions,
    requestId: string,
    text: string | undefined,
): Step<{ readonly isStored: boolean; readonly outcome?: ClaimOutcome }> {
    if (text === undefined) {
        return { isStored: true };
    }
    if (text.length <= MAXIMUM_INLINE_OUTCOME_CHARACTERS) {
        return { isStored: true, outcome: { isInline: true, text } };
    }
    const objectKey = `${options.key}/${requestId}`;
    const written = yield* waitFor(
        waitForStore(options.clock, options.objects.writeObject(objectKey, Buffer.from(text, "utf8"))),
    );
    return { isStored: written.isOk(), outcome: { isInline: false, objectKey } };
}

/** Runs the steps of a settlement; returns false if the store did not respond and it must be retried. */
function* runSettlement(
    options: HeldClaimOptions,
    settlement: Settlement,
    known: { readonly record: ClaimRecord; readonly version: number } | undefined,
): Step<boolean> {
    let step: SettlementStep = beginSettlement(settlement, known);
    for (;;) {
        if (step.kind !== SettlementStepKind.Read && step.kind !== SettlementStepKind.Commit) {
            return step.kind === SettlementStepKind.Done;
        }
        const answer: TableAnswer =
            step.kind === SettlementStepKind.Read
                ? convertReadResult(yield* waitFor(waitForStore(options.clock, options.table.readRow(options.key))))
                : convertCommitResult(
                      yield* waitFor(
                          options.commits.commitEntry(buildClaimEntry(options.key, step.record, step.version)),
                      ),
                  );
        step = advanceSettlement(settlement, answer);
    }
}
