/**
 * @module The JSON form of a VM in the platform's list.
 */
import { z } from "zod";
import { VmRole, VmState } from "../../model/endpoint";

/** Checks one VM of the list. */
export const vmSchema = z.object({
    vmId: z.string(),
    role: z.enum(VmRole),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    port: z.number(),
    state: z.enum(VmState),
    reclaimAtWallMs: z.number().optional(),
    machineClass: z.string(),
    isReclaimable: z.boolean(),
    serviceName: z.string().optional(),
    version: z.string().optional(),
    incarnation: z.number(),
});
