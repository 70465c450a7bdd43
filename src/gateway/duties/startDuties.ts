/**
 * @module Starts the participation of a node in the duties.
 */
import { DutyKind } from "../../model/gateway";
import type { DutyPort } from "../../ports/duties";
import type { RolloutRecordsPort } from "../../ports/rolloutRecords";
import type { TablePort } from "../../ports/table";
import type { ClusterTime } from "../tables/createClusterTime";
import { createFleetDuty } from "./createFleetDuty";
import type { Membership } from "../news/createMembership";
import { createRolloutDuty } from "../rollouts/createRolloutDuty";
import { createUsageDuty } from "./createUsageDuty";
import { createUsageLedger } from "./createUsageLedger";
import type { GatewayComponents } from "../gatewayComponents";
import { type DutyHandle, startDutyHolder } from "./startDutyHolder";

/** Dependencies of the duties. */
export interface DutyDependencies {
    readonly components: GatewayComponents;
    readonly cloud: DutyPort | undefined;
    readonly table: TablePort;
    readonly membership: Membership;
    readonly clusterTime: ClusterTime;
    readonly rolloutRecords: RolloutRecordsPort;
}

/**
 * Starts the participation in the duties.
 *
 * @param dependencies - The components and ports that the duties need
 * @returns The handle that ends it
 * @example
 * const duties = startDuties({ components, cloud, table, membership, clusterTime });
 */
export function startDuties({
    components,
    cloud,
    table,
    membership,
    clusterTime,
    rolloutRecords: records,
}: DutyDependencies): DutyHandle {
    const { settings, news, clock, log, reportFailure } = components;
    const { usageWindowMs: windowMs, usageDueMs: dueMs, leaseMs } = settings.bounds;
    const { isFirstStart } = settings;
    const ledger = createUsageLedger();
    const creators = {
        [DutyKind.Usage]: (port: DutyPort) =>
            createUsageDuty({
                windowMs,
                dueMs,
                cloud: port,
                table,
                membership,
                ledger,
                clusterTime,
                isFirstStart,
                log,
            }),
        [DutyKind.Fleet]: (port: DutyPort) =>
            createFleetDuty({
                ...components,
                cloud: port,
                failureDomains: Object.keys(settings.regions),
                isFirstStart,
            }),
    };
    const cloudDuties = cloud === undefined ? [] : settings.duties.map(kind => creators[kind](cloud));
    const duties = [createRolloutDuty({ ...components, records, clusterTime }), ...cloudDuties];
    return startDutyHolder({ node: settings.nodeName, leaseMs, table, news, duties, clock, log, reportFailure });
}
