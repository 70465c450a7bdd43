/**
 * @module The handle of a lease that this node has acquired. It renews the lease in the background.
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
import { MAXIMUM_RELEASE_ATTEMPTS, RENEWALS_PER_DURATION, RETRY_DELAY_MS } from "./constants";
import type { LeaseRowClient } from "./createLeaseRowClient";
import { toLeaseKey } from "./leaseRows";

/** Dependencies of a lease handle. */
export interface LeaseHandleOptions {
    readonly name: string;
    readonly rowClient: LeaseRowClient;
    /** The lease as it was when acquired. */
    readonly held: HeldLease;
    readonly clock: Clock;
    /** True once the lease task is disposed: renewals stop and the lease expires. */
    readonly isStopped: () => boolean;
    /** Called once the lease has expired, was taken over, or was released. */
    readonly onEnded: () => void;
}

/** Creates the handle and starts renewing the lease in the background until it ends. */
export function createLeaseHandle(options: LeaseHandleOptions): LeaseHandle {
    const { name, rowClient, clock, held } = options;
    let released = false;
    const hasEpoch = () => rowClient.readState().held?.epoch === held.epoch;
    const isHeld = (effectMs: number) =>
        !released && hasEpoch() && isLeaseHeld(rowClient.readState(), rowClient.readSuspendAwareMs(), effectMs);
    const durationMs = rowClient.readState().terms.durationMs;

    const renewal = startTask(`lease ${name}`, function* () {
        let delayMs = durationMs / RENEWALS_PER_DURATION;
        while (isHeld(0)) {
            const remainingMs = (rowClient.readState().held?.validUntilMs ?? 0) - clock.readMonotonicMs();
            yield* waitFor(clock.waitMs(Math.min(delayMs, Math.max(0, remainingMs))));
            if (!isHeld(0) || options.isStopped()) {
                break;
            }
            const step = decideLeaseStep(rowClient.readState(), clock.readMonotonicMs());
            const outcome = yield* waitFor(
                step.kind === LeaseStepKind.Write
                    ? rowClient.writeToStore(step.row, step.expectedVersion)
                    : rowClient.readFromStore(),
            );
            const isRenewed = outcome.isOk() && !rowClient.readState().needsRead && step.kind === LeaseStepKind.Write;
            delayMs = isRenewed ? durationMs / RENEWALS_PER_DURATION : RETRY_DELAY_MS;
        }
    });
    let resolveReleased: () => void;
    const whenReleased = new Promise<void>(resolve => {
        resolveReleased = resolve;
    });
    const whenEnded = Promise.race([renewal.ended, whenReleased]).then(options.onEnded);

    const writeRelease = async () => {
        for (let attempt = 0; attempt < MAXIMUM_RELEASE_ATTEMPTS && hasEpoch(); attempt++) {
            const { held: current } = rowClient.readState();
            const row = { holderId: undefined, epoch: held.epoch, durationMs };
            const answer = await rowClient.writeToStore(row, current?.rowVersion);
            if (answer.isErr()) {
                await rowClient.readFromStore();
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
        buildFenceCondition: () => ({ key: toLeaseKey(name), version: rowClient.readState().held?.rowVersion ?? -1 }),
        release: async () => {
            if (!released) {
                released = true;
                resolveReleased();
                await writeRelease();
            }
        },
    };
}
