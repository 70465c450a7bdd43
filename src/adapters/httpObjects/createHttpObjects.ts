/**
 * @module The object store over HTTP.
 */
import { err, ok } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import { FailureKind } from "../../base/failure";
import type { ObjectsPort } from "../../ports/objects";
import { sendPlatformCall } from "../_lib/sendPlatformCall";
import { createPlatformConnection, type PlatformAdapterOptions } from "../_lib/createPlatformConnection";
import { formatListingQuery } from "../_lib/formatListingQuery";
import { parseAnswer } from "../_lib/parseAnswer";
import { refuseAnswer } from "../_lib/refuseAnswer";
import { HttpStatus } from "../_lib/httpStatus";

const keysSchema = z.object({ keys: z.array(z.string()) });

/**
 * Creates the adapter to the object store.
 *
 * @param options - Address, port and bounds of the waits
 * @returns The store; disposing it closes its connections
 * @example
 * const objects = createHttpObjects({ address: "127.0.0.1", port: 7000 });
 * await objects.writeObject("result/1", Buffer.from("text"));
 */
export function createHttpObjects(options: PlatformAdapterOptions): ObjectsPort & Disposable {
    const connection = createPlatformConnection(options);
    const writeCall = async (method: string, key: string, body?: Buffer) => {
        const answer = await sendPlatformCall(connection, { method, path: formatObjectPath(key), body });
        return answer.andThen(({ status }) =>
            status < HttpStatus.FirstRedirect ? ok(undefined) : refuseAnswer(status, false),
        );
    };
    return {
        writeObject: (key, body) => writeCall("PUT", key, body),
        deleteObject: key => writeCall("DELETE", key),
        readObject: async (key, range) => {
            if (range !== undefined && range.end <= range.start) {
                return ok(Buffer.alloc(0));
            }
            const headers = range === undefined ? undefined : { range: `bytes=${range.start}-${range.end - 1}` };
            const answer = await sendPlatformCall(connection, { method: "GET", path: formatObjectPath(key), headers });
            return answer.andThen(({ status, body }) => {
                if (status === HttpStatus.NotFound) {
                    return err(createFailure(FailureKind.NotFound, `There is no object ${key}.`));
                }
                return status < HttpStatus.FirstRedirect ? ok(body) : refuseAnswer(status, false);
            });
        },
        listObjects: async (prefix, listing) => {
            const path = `/object-keys?${formatListingQuery(prefix, listing)}`;
            const answer = await sendPlatformCall(connection, { method: "GET", path });
            return answer.andThen(({ status, body }) => {
                const value = status < HttpStatus.FirstRedirect ? parseAnswer(body, keysSchema) : undefined;
                return value === undefined ? refuseAnswer(status, false) : ok(value.keys);
            });
        },
        dispose: connection.pool.dispose,
    };
}

function formatObjectPath(key: string): string {
    return `/objects/${encodeURIComponent(key)}`;
}
