/**
 * @module The state of a node in a few lines.
 */
import { VmState } from "../model/endpoint";
import type { OperatorDependencies } from "../operator/operatorDependencies";
import { listInvariants } from "./listInvariants";

/** A node as it sees itself. */
export interface StatusView {
    readonly nodeId: string;
    readonly vmId: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly programVersion: string;
    readonly isReady: boolean;
    readonly revision: number;
    /** Least revision that a node is known to have applied; equal to `revision` once a change is in force everywhere. */
    readonly lowestRevision: number;
    readonly nodes: number;
    readonly suspectNodes: number;
    readonly liveVms: number;
    readonly leavingVms: number;
    readonly invariantBreaches: number;
}

/**
 * Reads the state of this node.
 *
 * @param dependencies - The node's handles
 * @returns Its state
 * @example
 * readStatus(dependencies).isReady;
 */
export function readStatus(dependencies: OperatorDependencies): StatusView {
    const { node, configuration, directory } = dependencies;
    const nodes = dependencies.nodes.listRevisions();
    const trusted = nodes.filter(other => !other.isSuspect);
    const vms = directory.listVms();
    const { revision } = configuration.readCurrent();
    return {
        nodeId: node.nodeId,
        vmId: node.vmId,
        region: node.region,
        failureDomain: node.failureDomain,
        programVersion: node.programVersion,
        isReady: dependencies.isReady(),
        revision,
        lowestRevision: Math.min(revision, ...trusted.map(other => other.revision)),
        nodes: nodes.length,
        suspectNodes: nodes.length - trusted.length,
        liveVms: vms.filter(vm => vm.state === VmState.Live).length,
        leavingVms: vms.filter(vm => vm.state === VmState.Leaving).length,
        invariantBreaches: listInvariants().reduce((sum, { breaches }) => sum + breaches, 0),
    };
}
