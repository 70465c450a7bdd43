/**
 * @module The cloud API of the platform stand-in.
 */
import { z } from "zod";
import type { Clock } from "../../base/clock";
import { VmRole, VmState } from "../../model/endpoint";
import type { VmStartRequest, VmPrice } from "../../ports/cloud";
import type { HttpTarget } from "../../adapters/_lib/httpTarget";
import type { FaultGate } from "../_lib/createFaultGate";
import type { StandinCall, StandinReply, StandinRoute } from "../_lib/standinCall";
import { LOOPBACK_ADDRESS } from "../constants";
import { FaultKind } from "../fault";
import type { VmRegistry } from "./createVmRegistry";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** Starts and stops what runs on a VM. */
export interface VmHooks {
    /** Starts the VM's program; gives where it listens, if it does. */
    readonly startProgram?: (order: VmStartRequest, vmId: string) => Promise<HttpTarget | undefined>;
    readonly stopProgram?: (vmId: string) => void;
}

/** What the cloud API works on. */
export interface CloudOptions {
    readonly registry: VmRegistry;
    readonly clock: Clock;
    readonly prices: readonly VmPrice[];
    readonly startMs: number;
    /** Age that a notice must have to be listed. */
    readonly noticeLagMs: number;
    readonly hooks: VmHooks;
    readonly readGate: () => FaultGate;
}

const orderSchema = z.strictObject({
    token: z.string().min(1),
    region: z.string(),
    failureDomain: z.string(),
    machineClass: z.string(),
    isReclaimable: z.boolean(),
    role: z.enum(VmRole),
    serviceName: z.string(),
    version: z.string(),
});

/**
 * Creates the cloud's routes: `POST /cloud/vms`, `DELETE /cloud/vms/{id}`, `GET /cloud/prices` and
 * `GET /cloud/notices`. Orders with a token seen before give the VM of the first.
 *
 * @param options - VMs, prices, hooks
 * @returns The routes
 * @example
 * createCloudRoutes({ registry, clock, prices, startMs: 500, noticeLagMs: 0, hooks: {}, readGate });
 */
export function createCloudRoutes(options: CloudOptions): readonly StandinRoute[] {
    const { registry, clock, hooks } = options;
    const startedByToken = new Map<string, string>();

    const startProgram = async (order: VmStartRequest, vmId: string) => {
        await clock.waitMs(options.startMs);
        const listener = await hooks.startProgram?.(order, vmId);
        registry.addVm({
            ...convertToPlace(order),
            vmId,
            address: listener?.address ?? LOOPBACK_ADDRESS,
            port: listener?.port ?? 0,
            state: VmState.Live,
            incarnation: startedByToken.size,
        });
    };
    const startVm = (call: StandinCall): StandinReply => {
        const parsed = orderSchema.safeParse(JSON.parse(call.body.toString("utf8")));
        if (!parsed.success) {
            return { status: HttpStatus.BadRequest, body: { effect: "none", message: z.prettifyError(parsed.error) } };
        }
        const order = parsed.data;
        const known = startedByToken.get(order.token);
        if (known !== undefined) {
            return { status: HttpStatus.Ok, body: { vmId: known } };
        }
        if (options.readGate().strike(FaultKind.StartRefused, { failureDomain: order.failureDomain }) !== undefined) {
            return { status: HttpStatus.Conflict, body: { effect: "none", message: "No capacity." } };
        }
        const vmId = `vm-${startedByToken.size + 1}`;
        startedByToken.set(order.token, vmId);
        void startProgram(order, vmId);
        return { status: HttpStatus.Ok, body: { vmId } };
    };
    const stopVm = (call: StandinCall): StandinReply => {
        const vmId = call.path.slice("/cloud/vms/".length);
        hooks.stopProgram?.(vmId);
        registry.removeVm(vmId);
        return { status: HttpStatus.Ok };
    };
    return [
        { method: "POST", path: "/cloud/vms", handle: startVm },
        { method: "DELETE", path: "/cloud/vms/", handle: stopVm },
        {
            method: "GET",
            path: "/cloud/prices",
            handle: () => ({ status: HttpStatus.Ok, body: { prices: options.prices } }),
        },
        {
            method: "GET",
            path: "/cloud/notices",
            handle: () => ({ status: HttpStatus.Ok, body: { notices: registry.listNotices(options.noticeLagMs) } }),
        },
    ];
}

function convertToPlace({
    region,
    failureDomain,
    machineClass,
    isReclaimable,
    role,
    serviceName,
    version,
}: VmStartRequest) {
    return { region, failureDomain, machineClass, isReclaimable, role, serviceName, version };
}
