/**
 * @module VMs as the platform's list shows them.
 */
import { type VmRecord, VmRole, VmState } from "../../../src/model/endpoint";

const REGIONS = 5;
const DOMAINS = 15;

/**
 * Builds model runners, spread evenly over 5 regions and 15 failure domains.
 *
 * @param count - How many
 * @param options - Services that they are spread over
 * @returns The VMs
 * @example
 * buildVms(3_200, { services: 10 });
 */
export function buildVms(count: number, options: { readonly services: number }): readonly VmRecord[] {
    return Array.from({ length: count }, (_unused, index) => {
        const domain = index % DOMAINS;
        const region = `region-${domain % REGIONS}`;
        return {
            vmId: `vm-${String(index).padStart(6, "0")}`,
            role: VmRole.ModelRunner,
            region,
            failureDomain: `${region}-domain-${Math.floor(domain / REGIONS)}`,
            address: `10.${domain}.${Math.floor(index / 250) % 250}.${index % 250}`,
            port: 8_000,
            state: VmState.Live,
            machineClass: `accelerator-${index % 4}`,
            isReclaimable: index % 100 < 48,
            serviceName: `service-${Math.floor(index / DOMAINS) % options.services}`,
            version: "v1",
            incarnation: 1,
        };
    });
}
