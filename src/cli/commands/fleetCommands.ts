/**
 * @module Commands that explain the fleet.
 */
import { ok, safeTry } from "neverthrow";
import type { ServicePlan } from "../../decisions/fleet/fleetPlan";
import type { FleetPlanView } from "../../tasks/fleet/fleetClient";
import { formatTable } from "../_lib/formatTable";
import type { CommandDefinition, CommandOutput } from "../commandDefinition";

const GROUP_HEAD = ["service", "version", "failure domain", "class", "reclaimable", "count", "micros/hour", "reason"];
const SERVICE_HEAD = [
    "service",
    "version",
    "micros/hour",
    "on-demand only",
    "units/s",
    "after loss",
    "short of",
    "demand",
];

/** Commands that explain the fleet; they change nothing. */
export const FLEET_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "fleet plan",
        description: "Explain which VMs are declared, why, and what they cost",
        examples: ["redwinglift fleet plan", "redwinglift fleet plan --json"],
        run: invocation =>
            safeTry(async function* () {
                const client = yield* invocation.connect();
                const plan = yield* await client.readQuery<FleetPlanView>("/fleet/plan");
                return ok<CommandOutput>({ value: plan, text: formatPlan(plan) });
            }),
    },
];

function formatPlan(plan: FleetPlanView): string {
    const plannedAt = new Date(plan.plannedAtWallMs).toISOString();
    const refused = plan.refused.map(
        ({ offerId, untilWallMs }) => `No starts of ${offerId} until ${new Date(untilWallMs).toISOString()}.`,
    );
    return [
        `Planned at ${plannedAt} by ${plan.nodeId}; ${plan.microsPerHour} micros an hour.`,
        formatTable(SERVICE_HEAD, plan.services.map(buildServiceRow)),
        formatTable(GROUP_HEAD, plan.services.flatMap(buildGroupRows)),
        ...refused,
    ].join("\n");
}

function buildServiceRow(service: ServicePlan): readonly (string | number)[] {
    return [
        service.serviceName,
        service.version,
        service.microsPerHour,
        service.onDemandMicrosPerHour ?? "none",
        Math.round(service.unitsPerSecond),
        Math.round(service.unitsAfterLoss),
        service.findings.join(", "),
        service.demandReason,
    ];
}

function buildGroupRows(service: ServicePlan): readonly (readonly (string | number)[])[] {
    return service.groups.map(group => [
        group.serviceName,
        group.version,
        group.failureDomain,
        group.machineClass,
        group.isReclaimable ? "yes" : "no",
        group.count,
        group.count * group.microsPerHour,
        group.reason,
    ]);
}
