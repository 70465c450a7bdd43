/**
 * @module A claim in the hands of the request that holds it.
 */
import type { Clock } from "../../../base/clock";
import { startTask, type TaskGenerator, waitFor } from "../../../base/csp";
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
    INLINE_OUTCOME_CHARACTERS,
    LONGEST_SETTLEMENT_PAUSE_MS,
    SETTLEMENT_PATIENCE_MS,
    STORE_RETRY_PAUSE_MS,
} from "../constants";
import { waitForStore } from "../../../ports/waitForStore";
import { buildClaimEntry } from "./buildClaimEntry";
import { toCommitAnswer } from "./toCommitAnswer";
import { toReadAnswer } from "./toReadAnswer";

/** What a held claim needs. */
export interface HeldClaimParts {
    readonly key: string;
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly commits: CommitClient;
    readonly clock: Clock;
    readonly counts: { unsettled: number };
    /** Called once the execution has ended, before it is recorded. */
    readonly onEnded: () => void;
}

/** Whose claim it is, and the row as last written where that is known. */
export interface ClaimHold {
    readonly requestId: string;
    readonly record?: ClaimRecord;
    readonly version?: number;
}

/**
 * Creates the handle of a claim.
 *
 * @param parts - Store, group commit, clock
 * @param hold - Whose claim it is
 * @returns The handle
 * @example
 * const claim = createHeldClaim(parts, step);
 */
export function createHeldClaim(parts: HeldClaimParts, hold: ClaimHold): HeldClaim {
    return {
        settle: (settlement, waitMs) => {
            parts.onEnded();
            const recorded = new Promise<boolean>(resolve => {
                startTask(`settle ${parts.key}`, () => recordSettlement(parts, hold, settlement, resolve));
            });
            return Promise.race([recorded, parts.clock.waitMs(waitMs).then(() => false)]);
        },
    };
}

function* recordSettlement(
    parts: HeldClaimParts,
    hold: ClaimHold,
    settlement: ClaimSettlement,
    resolve: (isRecorded: boolean) => void,
): TaskGenerator<void> {
    const { requestId, record, version } = hold;
    parts.counts.unsettled++;
    const giveUpAtMs = parts.clock.readMonotonicMs() + SETTLEMENT_PATIENCE_MS;
    let pauseMs = STORE_RETRY_PAUSE_MS;
    let isRecorded = false;
    let known = record === undefined || version === undefined ? undefined : { record, version };
    while (!isRecorded && parts.clock.readMonotonicMs() < giveUpAtMs) {
        const outcome = yield* storeOutcome(parts, requestId, settlement.outcome);
        if (outcome.isStored) {
            isRecorded = yield* runSettlement(
                parts,
                { requestId, state: settlement.state, outcome: outcome.outcome },
                known,
            );
            known = undefined;
        }
        if (!isRecorded) {
            yield* waitFor(parts.clock.waitMs(pauseMs));
            pauseMs = Math.min(LONGEST_SETTLEMENT_PAUSE_MS, pauseMs * 2);
        }
    }
    parts.counts.unsettled--;
    resolve(isRecorded);
}

function* storeOutcome(
    parts: HeldClaimParts,
    requestId: string,
    text: string | undefined,
): TaskGenerator<{ readonly isStored: boolean; readonly outcome?: ClaimOutcome }> {
    if (text === undefined) {
        return { isStored: true };
    }
    if (text.length <= INLINE_OUTCOME_CHARACTERS) {
        return { isStored: true, outcome: { isInline: true, text } };
    }
    const objectKey = `${parts.key}/${requestId}`;
    const written = yield* waitFor(
        waitForStore(parts.clock, parts.objects.writeObject(objectKey, Buffer.from(text, "utf8"))),
    );
    return { isStored: written.isOk(), outcome: { isInline: false, objectKey } };
}

function* runSettlement(
    parts: HeldClaimParts,
    settlement: Settlement,
    known: { readonly record: ClaimRecord; readonly version: number } | undefined,
): TaskGenerator<boolean> {
    let step: SettlementStep = beginSettlement(settlement, known);
    for (;;) {
        if (step.kind !== SettlementStepKind.Read && step.kind !== SettlementStepKind.Commit) {
            return step.kind === SettlementStepKind.Done;
        }
        const answer: TableAnswer =
            step.kind === SettlementStepKind.Read
                ? toReadAnswer(yield* waitFor(waitForStore(parts.clock, parts.table.readRow(parts.key))))
                : toCommitAnswer(
                      yield* waitFor(parts.commits.commitEntry(buildClaimEntry(parts.key, step.record, step.version))),
                  );
        step = advanceSettlement(settlement, answer);
    }
}
