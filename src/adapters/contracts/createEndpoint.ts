/**
 * @module Endpoints for contract tests.
 */
import { type Endpoint, VmRole } from "../../model/endpoint";
import type { HttpTarget } from "../_lib/httpTarget";

/**
 * Creates the endpoint of a stand-in.
 *
 * @param role - What the stand-in is
 * @param target - Where it listens
 * @returns An endpoint of version `v1`
 * @example
 * createEndpoint(VmRole.ModelRunner, runner);
 */
export function createEndpoint(role: Endpoint["role"], target: HttpTarget): Endpoint {
    return {
        endpointId: `${role}-${target.port}`,
        role,
        address: target.address,
        port: target.port,
        serviceName: role === VmRole.ModelRunner ? "assistant" : "register",
        version: "v1",
        machineClass: "standard",
        isReclaimable: true,
        region: "hobart",
        failureDomain: "hobart-1",
    };
}
