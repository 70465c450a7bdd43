/**
 * @module The handle of a lease that this node has acquired, with its renewals.
 */
import { err, ok } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { startTask, waitFor } from "../../../base/csp";
import { FailureKind } from "../../../base/failure";
import { isLeaseHeld } from "../../../decisions/leases/applyLeaseEvents";
import { decideLeaseStep } from "../../../decisions/leases/decideLeaseStep";
import { type HeldLease, LeaseStepKind } from "../../../decisions/leases/leaseState";
import type { LeaseHandle } from "../leaseClient";
import { RELEASE_TRIES, RENEWALS_PER_DURATION, RETRY_DELAY_MS } from "./constants";
import type { LeaseKeeper } from "./createLeaseKeeper";
import { toLeaseKey } from "./leaseRows";

/** What a handle needs. */
export interface LeaseHandleOptions {
    readonly name: string;
    readonly keeper: LeaseKeeper;
    /** The lease as acquired. */
    readonly held: HeldLease;
    readonly clock: Clock;
    /** True once the process no longer renews; the lease then lapses. */
    readonly isStopped: () => boolean;
    /** Called once the lease has ended. */
    readonly onEnded: () => void;
}

/** Creates the handle and starts the task that renews the lease until it ends. */
export function createLeaseHandle(options: LeaseHandleOptions): LeaseHandle {
    const { name, keeper, clock, held } = options;
    let released = false;
    const hasEpoch = () => keeper.readState().held?.epoch === held.epoch;
    const isHeld = (effectMs: number) =>
        !released && hasEpoch() && isLeaseHeld(keeper.readState(), keeper.readHolderMs(), effectMs);
    const durationMs = keeper.readState().terms.durationMs;

    const renewal = startTask(`lease ${name}`, function* () {
        let delayMs = durationMs / RENEWALS_PER_DURATION;
        while (isHeld(0)) {
            const remainingMs = (keeper.readState().held?.validUntilMs ?? 0) - clock.readMonotonicMs();
            yield* waitFor(clock.waitMs(Math.min(delayMs, Math.max(0, remainingMs))));
            if (!isHeld(0) || options.isStopped()) {
                break;
            }
            const step = decideLeaseStep(keeper.readState(), clock.readMonotonicMs());
            const outcome = yield* waitFor(
                step.kind === LeaseStepKind.Write
                    ? keeper.writeToStore(step.row, step.expectedVersion)
                    : keeper.readFromStore(),
            );
            const isSettled = outcome.isOk() && !keeper.readState().needsRead && step.kind === LeaseStepKind.Write;
            delayMs = isSettled ? durationMs / RENEWALS_PER_DURATION : RETRY_DELAY_MS;
        }
    });
    let resolveReleased: () => void;
    const whenReleased = new Promise<void>(resolve => {
        resolveReleased = resolve;
    });
    const whenEnded = Promise.race([renewal.ended, whenReleased]).then(options.onEnded);

    const writeRelease = async () => {
        for (let attempt = 0; attempt < RELEASE_TRIES && hasEpoch(); attempt++) {
            const { held: now } = keeper.readState();
            const row = { holderId: undefined, epoch: held.epoch, durationMs };
            const answer = await keeper.writeToStore(row, now?.rowVersion);
            if (answer.isErr()) {
                await keeper.readFromStore();
            }
        }
    };
    return {
        name,
        epoch: held.epoch,
        acquiredAtMs: held.acquiredAtMs,
        whenEnded,
        checkHeld: (effectMs = 0) =>
            isHeld(effectMs)
                ? ok(held.epoch)
                : err(createFailure(FailureKind.LeaseLost, `Lease ${name}, epoch ${held.epoch}, is no longer held.`)),
        buildFenceCondition: () => ({ key: toLeaseKey(name), version: keeper.readState().held?.rowVersion ?? -1 }),
        release: async () => {
            if (!released) {
                released = true;
                resolveReleased();
                await writeRelease();
            }
        },
    };
}
