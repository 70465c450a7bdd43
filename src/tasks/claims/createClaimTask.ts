/**
 * @module Claims idempotency keys in the table before a request is sent, and records the outcomes under those keys.
 */
import { err, ok, type Result } from "neverthrow";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import type { DumpSource } from "../../base/dump";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import {
    advanceClaim,
    beginClaim,
    ClaimResult,
    type ClaimProcedure,
    type ClaimStep,
    ClaimStepKind,
    TableAnswerKind,
} from "../../decisions/outcomes/claims/advanceClaim";
import { type ClaimRecord, ClaimState } from "../../decisions/outcomes/claims/claimRecord";
import { type Claimant, ClaimVerdict, decideClaim } from "../../decisions/outcomes/claims/decideClaim";
import type { ObjectsPort } from "../../ports/objects";
import type { TablePort } from "../../ports/table";
import { waitForStore } from "../../ports/waitForStore";
import { buildClaimEntry } from "./_lib/buildClaimEntry";
import { convertCommitResult } from "./_lib/convertCommitResult";
import { convertReadResult } from "./_lib/convertReadResult";
import { createHeldClaim, type HeldClaimOptions } from "./_lib/createHeldClaim";
import { hashParts } from "./_lib/hashParts";
import { type ClaimResult, ClaimResultKind, type ClaimClient, type ClaimRequest } from "./claimClient";
import type { CommitClient } from "./commitClient";
import { CLAIM_GRACE_MS, STORE_RETRY_DELAY_MS } from "./constants";

/** Dependencies of the claim task. */
export interface ClaimTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly commits: CommitClient;
    readonly clock: Clock;
}

/** The running claim task. */
export type ClaimTask = ClaimClient & DumpSource;

/** The step that ends a claim procedure. */
type EndStep = Extract<ClaimStep, { readonly kind: ClaimStepKind.End }>;

/**
 * Creates the claim task of this node.
 *
 * @param options - Node id, store, group commit and clock
 * @returns The claim client, which can also dump its state
 * @example
 * const claims = createClaimTask({ nodeId, table, objects, commits, clock });
 */
export function createClaimTask(options: ClaimTaskOptions): ClaimTask {
    const { clock, table } = options;
    // Request ids by key of the claims that this node holds.
    const held = new Map<string, string>();
    const counts = { held: 0, replayed: 0, unknown: 0, reused: 0, inProgress: 0, storeDown: 0, unsettled: 0 };

    const convertEnd = async (key: string, step: EndStep, ask: Claimant): Promise<Result<ClaimResult, Failure>> => {
        switch (step.end) {
            case ClaimResult.Held:
                counts.held++;
                assertInvariant(!held.has(key), Invariant.AtMostOnce, `two holders of a claim: ${ask.requestId}`);
                held.set(key, ask.requestId);
                return ok({
                    kind: ClaimResultKind.Held,
                    claim: createHeldClaim(
                        { ...options, key, counts, onEnded: () => held.delete(key) },
                        { ...step, requestId: ask.requestId },
                    ),
                });
            case ClaimResult.Replay:
                counts.replayed++;
                return readOutcome(options, step.record);
            case ClaimResult.InProgress:
                counts.inProgress++;
                return err(createInProgressFailure(step.record, clock.readWallMs()));
            case ClaimResult.Unknown:
                counts.unknown++;
                return err(createUnknownOutcomeFailure());
            case ClaimResult.Reused:
                counts.reused++;
                return err(
                    createFailure(
                        FailureKind.IdempotencyKeyReused,
                        "The idempotency key was used for a different request.",
                    ),
                );
            case ClaimResult.StoreDown:
                counts.storeDown++;
                return err(createStoreDownFailure());
        }
    };

    return {
        name: "claims",
        lookUpKey: async request => {
            const key = toClaimKey(request);
            const ask = buildAsk(options, request);
            const answer = convertReadResult(await waitForStore(clock, table.readRow(key)));
            if (answer.kind === TableAnswerKind.Row) {
                const { verdict } = decideClaim(answer.record, ask, clock.readWallMs());
                if (verdict === ClaimVerdict.Write || verdict === ClaimVerdict.SettleUnknown) {
                    return ok({ kind: ClaimResultKind.Free });
                }
            }
            const { step } = advanceClaim(beginClaim(ask), answer, clock.readWallMs());
            return step.kind === ClaimStepKind.End ? convertEnd(key, step, ask) : ok({ kind: ClaimResultKind.Free });
        },
        acquireClaim: async request => {
            const key = toClaimKey(request);
            const ask = buildAsk(options, request);
            for (;;) {
                const { step, hasLostAnswer } = await runProcedure(options, key, ask);
                const canWait = clock.readMonotonicMs() + STORE_RETRY_DELAY_MS < request.waitUntilMs;
                if (step.kind === ClaimStepKind.End && (step.end !== ClaimResult.StoreDown || !canWait)) {
                    abandonLostClaim({ ...options, key, counts, onEnded: () => undefined }, step, ask, hasLostAnswer);
                    return convertEnd(key, step, ask);
                }
                await clock.waitMs(STORE_RETRY_DELAY_MS);
            }
        },
        dumpState: () => ({ ...counts, holding: held.size }),
    };
}

async function runProcedure(options: ClaimTaskOptions, key: string, ask: Claimant): Promise<ClaimProcedure> {
    let procedure = beginClaim(ask);
    for (;;) {
        const { step } = procedure;
        if (step.kind === ClaimStepKind.End) {
            return procedure;
        }
        const answer =
            step.kind === ClaimStepKind.Read
                ? convertReadResult(await waitForStore(options.clock, options.table.readRow(key)))
                : convertCommitResult(
                      await options.commits.commitEntry(buildClaimEntry(key, step.record, step.version)),
                  );
        procedure = advanceClaim(procedure, answer, options.clock.readWallMs());
    }
}

/**
 * Releases a claim that was abandoned after a lost response. Its write may have taken effect, so the claim is recorded
 * as `NotRun`, if the store allows it.
 */
function abandonLostClaim(options: HeldClaimOptions, step: EndStep, ask: Claimant, hasLostAnswer: boolean): void {
    if (step.end === ClaimResult.StoreDown && hasLostAnswer) {
        void createHeldClaim(options, { requestId: ask.requestId }).settle({ state: ClaimState.NotRun }, 0);
    }
}

/** Reads the recorded outcome of an earlier request with the same key. */
async function readOutcome(
    options: ClaimTaskOptions,
    record: ClaimRecord | undefined,
): Promise<Result<ClaimResult, Failure>> {
    const outcome = record?.outcome;
    if (outcome === undefined) {
        return err(createUnknownOutcomeFailure());
    }
    if (outcome.isInline) {
        return ok({ kind: ClaimResultKind.Replay, outcome: outcome.text });
    }
    const body = await waitForStore(options.clock, options.objects.readObject(outcome.objectKey));
    return body
        .map(bytes => ({ kind: ClaimResultKind.Replay as const, outcome: bytes.toString("utf8") }))
        .mapErr(failure => ({ ...failure, execution: Execution.Ran, retryAfterMs: STORE_RETRY_DELAY_MS }));
}

function toClaimKey(request: ClaimRequest): string {
    return `claims/${hashParts(request.accountName, request.idempotencyKey)}`;
}

function buildAsk(options: ClaimTaskOptions, request: ClaimRequest): Claimant {
    const leftMs = request.deadlineAtMs - options.clock.readMonotonicMs();
    return {
        bodyHash: hashParts(request.body),
        requestId: request.requestId,
        nodeId: options.nodeId,
        validUntilWallMs: Math.ceil(options.clock.readWallMs() + leftMs + CLAIM_GRACE_MS),
    };
}

function createInProgressFailure(record: ClaimRecord | undefined, nowWallMs: number): Failure {
    const leftMs = Math.max(0, (record?.validUntilWallMs ?? nowWallMs) - nowWallMs);
    return createFailure(FailureKind.IdempotencyKeyInProgress, "An earlier request with this key is in progress.", {
        execution: Execution.Unknown,
        retryAfterMs: Math.max(STORE_RETRY_DELAY_MS, Math.min(leftMs, CLAIM_GRACE_MS)),
    });
}

function createUnknownOutcomeFailure(): Failure {
    return createFailure(
        FailureKind.OutcomeUnknown,
        "It is not known whether an earlier request with this key was executed. It will not be executed again.",
        { execution: Execution.Unknown },
    );
}

function createStoreDownFailure(): Failure {
    return createFailure(
        FailureKind.StoreUnavailable,
        "The store that prevents a second execution is unavailable. This request was not sent; " +
            "the result of earlier requests with the same key could not be read.",
        { retryAfterMs: 1_000 },
    );
}
