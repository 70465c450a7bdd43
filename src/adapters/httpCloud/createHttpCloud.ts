/**
 * @module The platform's cloud API over HTTP.
 */
import { err, ok } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import { FailureKind } from "../../base/failure";
import type { CloudPort } from "../../ports/cloud";
import { sendPlatformCall } from "../_lib/sendPlatformCall";
import { createPlatformConnection, type PlatformAdapterOptions } from "../_lib/createPlatformConnection";
import { parseAnswer } from "../_lib/parseAnswer";
import { refuseAnswer } from "../_lib/refuseAnswer";
import { HttpStatus } from "../_lib/httpStatus";

const startedSchema = z.object({ vmId: z.string() });
const priceSchema = z.object({
    region: z.string(),
    failureDomain: z.string(),
    machineClass: z.string(),
    isReclaimable: z.boolean(),
    microsPerHour: z.number(),
});
const pricesSchema = z.object({ prices: z.array(priceSchema) });
const noticesSchema = z.object({
    notices: z.array(z.object({ vmId: z.string(), reclaimAtWallMs: z.number() })),
});

/**
 * Creates the adapter to the cloud API.
 *
 * @param options - Address, port and bounds of the waits
 * @returns The API; disposing it closes its connections
 * @example
 * const cloud = createHttpCloud({ address: "127.0.0.1", port: 7000 });
 * const started = await cloud.startVm(order);
 */
export function createHttpCloud(options: PlatformAdapterOptions): CloudPort & Disposable {
    const connection = createPlatformConnection(options);
    const readList = async <T>(path: string, schema: z.ZodType<T>) => {
        const answer = await sendPlatformCall(connection, { method: "GET", path });
        return answer.andThen(({ status, body }) => {
            const value = status === HttpStatus.Ok ? parseAnswer(body, schema) : undefined;
            return value === undefined ? refuseAnswer(status, false) : ok(value);
        });
    };
    return {
        startVm: async order => {
            const body = Buffer.from(JSON.stringify(order));
            const answer = await sendPlatformCall(connection, { method: "POST", path: "/cloud/vms", body });
            return answer.andThen(({ status, body: answerBody }) => {
                if (status === HttpStatus.Conflict) {
                    return err(createFailure(FailureKind.PlatformRefused, "The platform refused to start the VM."));
                }
                const value = status === HttpStatus.Ok ? parseAnswer(answerBody, startedSchema) : undefined;
                return value === undefined ? refuseAnswer(status, status === HttpStatus.Ok) : ok(value);
            });
        },
        stopVm: async vmId => {
            const path = `/cloud/vms/${encodeURIComponent(vmId)}`;
            const answer = await sendPlatformCall(connection, { method: "DELETE", path });
            return answer.andThen(({ status }) =>
                status === HttpStatus.Ok ? ok(undefined) : refuseAnswer(status, false),
            );
        },
        listPrices: async () => (await readList("/cloud/prices", pricesSchema)).map(value => value.prices),
        listReclaimNotices: async () => (await readList("/cloud/notices", noticesSchema)).map(value => value.notices),
        dispose: connection.pool.dispose,
    };
}
