/**
 * @module Writes the bodies of many jobs as one object.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";
import { createFailure } from "../../../base/createFailure";
import { createChannel, offerMessage, pollMessage, startTask, take, waitFor } from "../../../base/csp";
import { type Failure, FailureKind } from "../../../base/failure";
import type { BodyReference } from "../../../decisions/outcomes/jobs/jobRecord";
import { JOB_BODY_PREFIX } from "../../../decisions/outcomes/jobs/jobRows";
import { buildBucketPrefix } from "../../../decisions/outcomes/jobs/buildBucketPrefix";
import type { ObjectsPort } from "../../../ports/objects";
import { waitForStore } from "../../../ports/waitForStore";
import { createUniqueId } from "./createUniqueId";
import { BODY_GROUP_BYTES, BODY_WINDOW_MS, WAITING_ACCEPTANCES } from "../constants";

/** Handle of the writer. */
export interface BodyWriter {
    /** Writes a body with others; gives where it stands. Failure: `StoreUnavailable`. */
    writeBody(body: Buffer): Promise<Result<BodyReference, Failure>>;
}

interface PendingBody {
    readonly body: Buffer;
    readonly resolve: (result: Result<BodyReference, Failure>) => void;
}

/**
 * Starts the writer: one js-csp task with one object being written.
 *
 * @param options - The object store, the clock and a random stream for keys
 * @returns The handle
 * @example
 * const reference = await bodies.writeBody(body);
 */
export function createBodyWriter(options: {
    readonly objects: ObjectsPort;
    readonly clock: Clock;
    readonly random: Random;
}): BodyWriter {
    const { clock, objects } = options;
    const inbox = createChannel<PendingBody>(WAITING_ACCEPTANCES);
    startTask("job bodies", function* () {
        for (;;) {
            const first = yield* take(inbox);
            if (first === undefined) {
                return;
            }
            yield* waitFor(clock.waitMs(BODY_WINDOW_MS));
            const group = [first];
            let bytes = first.body.length;
            for (let next = pollMessage(inbox); next !== undefined; next = pollMessage(inbox)) {
                group.push(next);
                bytes += next.body.length;
                if (bytes >= BODY_GROUP_BYTES) {
                    break;
                }
            }
            const objectKey = `${buildBucketPrefix(JOB_BODY_PREFIX, clock.readWallMs())}${createUniqueId(options)}`;
            const whole = Buffer.concat(group.map(({ body }) => body));
            const written = yield* waitFor(waitForStore(clock, objects.writeObject(objectKey, whole)));
            resolveGroup(group, objectKey, written);
        }
    });
    return {
        writeBody: body =>
            new Promise(resolve => {
                if (!offerMessage(inbox, { body, resolve })) {
                    resolve(err(createFailure(FailureKind.Overloaded, "Too many jobs wait for the store.")));
                }
            }),
    };
}

// An object whose write was lost is written anew under another key when its jobs are submitted again.
function resolveGroup(group: readonly PendingBody[], objectKey: string, written: Result<void, Failure>): void {
    let start = 0;
    for (const { body, resolve } of group) {
        const reference = { objectKey, start, end: start + body.length };
        const failure = createFailure(FailureKind.StoreUnavailable, "The body of the job could not be stored.");
        resolve(written.isOk() ? ok(reference) : err(failure));
        start += body.length;
    }
}
