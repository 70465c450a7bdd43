/**
 * @module The gauges of a node.
 */
import { Metric } from "../../base/metrics/metric";
import type { MetricTags } from "../../base/metrics/metrics";
import { type Configuration, MoveState } from "../../model/configuration";
import { type VmRecord, VmState } from "../../model/endpoint";
import type { NodeRevision } from "../../nodes/revisionExchange";

/** The state from which the gauges are computed. */
export interface GaugeFacts {
    readonly configuration: Configuration;
    readonly nodes: readonly NodeRevision[];
    readonly vms: readonly VmRecord[];
    readonly openRequests: number;
    readonly residentBytes: number;
}

/** The value of a gauge for one set of tags. */
export interface GaugeSample {
    readonly metric: Metric;
    readonly value: number;
    readonly tags?: MetricTags;
}

/**
 * Collects the value of each gauge.
 *
 * @param facts - The current state of the node
 * @returns One sample per gauge and set of tags
 * @example
 * collectGauges(facts).forEach(({ metric, value, tags }) => metrics.setGauge(metric, value, tags));
 */
export function collectGauges(facts: GaugeFacts): readonly GaugeSample[] {
    const { configuration, nodes, vms } = facts;
    const suspects = nodes.filter(node => node.isSuspect).length;
    return [
        { metric: Metric.ConfigurationRevision, value: configuration.revision },
        { metric: Metric.NodesLive, value: nodes.length - suspects },
        { metric: Metric.NodesSuspect, value: suspects },
        { metric: Metric.VmsLeaving, value: vms.filter(vm => vm.state === VmState.Leaving).length },
        { metric: Metric.RequestsOpen, value: facts.openRequests },
        { metric: Metric.ResidentMemory, value: facts.residentBytes },
        ...Object.values(configuration.versionMoves)
            .filter(move => move.state === MoveState.Moving)
            .map(move => ({ metric: Metric.MoveShare, value: move.share, tags: { service: move.serviceName } })),
        ...Object.keys(configuration.services).map(service => ({
            metric: Metric.FleetVms,
            value: vms.filter(vm => vm.serviceName === service && vm.state === VmState.Live).length,
            tags: { service },
        })),
    ];
}
