/**
 * @module The platform's list of VMs over HTTP.
 */
import { ok } from "neverthrow";
import { z } from "zod";
import type { Disposable } from "../../base/disposableStore";
import type { VmListPort } from "../../ports/cloud";
import { sendPlatformCall } from "../_lib/sendPlatformCall";
import { createPlatformConnection, type PlatformAdapterOptions } from "../_lib/createPlatformConnection";
import { parseAnswer } from "../_lib/parseAnswer";
import { refuseAnswer } from "../_lib/refuseAnswer";
import { vmSchema } from "./vmSchema";

const listSchema = z.object({ vms: z.array(vmSchema) });

/**
 * Creates the adapter to the list of VMs.
 *
 * @param options - Address, port and bounds of the waits
 * @returns The list; disposing it closes its connections
 * @example
 * const vmList = createHttpVmList({ address: "127.0.0.1", port: 7000 });
 * const vms = await vmList.listVms();
 */
export function createHttpVmList(options: PlatformAdapterOptions): VmListPort & Disposable {
    const connection = createPlatformConnection(options);
    return {
        listVms: async () => {
            const answer = await sendPlatformCall(connection, { method: "GET", path: "/vms" });
            return answer.andThen(({ status, body }) => {
                const value = parseAnswer(body, listSchema);
                return value === undefined ? refuseAnswer(status, false) : ok(value.vms);
            });
        },
        dispose: connection.pool.dispose,
    };
}
