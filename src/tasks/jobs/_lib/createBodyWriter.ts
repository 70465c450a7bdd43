/**
 * @module Batches the request bodies of several jobs into one stored object.
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
import { BODY_GROUP_BYTES, BODY_GROUP_WINDOW_MS, MAXIMUM_PENDING_SUBMISSIONS } from "../constants";

/** Stores request bodies of jobs. */
export interface BodyWriter {
    /**
     * Stores a body together with others and returns its location. Failures: `StoreUnavailable`, or `Overloaded` if too
     * many bodies are queued.
     */
    writeBody(body: Buffer): Promise<Result<BodyReference, Failure>>;
}

/** A body that waits to be written. */
interface PendingBody {
    readonly body: Buffer;
    readonly resolve: (result: Result<BodyReference, Failure>) => void;
}

/**
 * Starts the writer, a js-csp task that writes one object at a time.
 *
 * @param options - Object store, clock and random number generator for object keys
 * @returns The writer
 * @example
 * const reference = await bodies.writeBody(body);
 */
export function createBodyWriter(options: {
    readonly objects: ObjectsPort;
    readonly clock: Clock;
    readonly random: Random;
}): BodyWriter {
    const { clock, objects } = options;
    const inbox = createChannel<PendingBody>(MAXIMUM_PENDING_SUBMISSIONS);
    startTask("job bodies", function* () {
        for (;;) {
            const first = yield* take(inbox);
            if (first === undefined) {
                return;
            }
            yield* waitFor(clock.waitMs(BODY_GROUP_WINDOW_MS));
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
            const objectBody = Buffer.concat(group.map(({ body }) => body));
            const written = yield* waitFor(waitForStore(clock, objects.writeObject(objectKey, objectBody)));
            resolveGroup(group, objectKey, written);
        }
    });
    return {
        writeBody: body =>
            new Promise(resolve => {
                if (!offerMessage(inbox, { body, resolve })) {
                    resolve(
                        err(createFailure(FailureKind.Overloaded, "Too many job bodies are waiting to be stored.")),
                    );
                }
            }),
    };
}

/**
 * Resolves every body of a group with its location in the object, or with a failure. After a failed write nothing is
 * retried here: a caller that submits the job again gets a new object under a new key.
 */
function resolveGroup(group: readonly PendingBody[], objectKey: string, written: Result<void, Failure>): void {
    let start = 0;
    for (const { body, resolve } of group) {
        const reference = { objectKey, start, end: start + body.length };
        const failure = createFailure(FailureKind.StoreUnavailable, "The request body of the job could not be stored.");
        resolve(written.isOk() ? ok(reference) : err(failure));
        start += body.length;
    }
}
