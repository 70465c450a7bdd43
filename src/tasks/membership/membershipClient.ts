/**
 * @module How other tasks learn which nodes there are.
 */
import type { MemberCondition } from "../../decisions/membership/member";
import type { Placement } from "../../model/endpoint";
import type { NodeAddress, TrafficCount } from "../../nodes/nodeTransport";

/** A node as this one knows it. */
export interface MemberView extends Placement, NodeAddress {
    readonly nodeId: string;
    readonly incarnation: number;
    readonly condition: MemberCondition;
    /** True if the node can be counted on now. False also for nodes of a region that is out of reach. */
    readonly isLive: boolean;
}

/** Handle of the membership task. */
export interface MembershipClient {
    /** Every known node, this one and those that died or left a while ago included. */
    listMembers(): readonly MemberView[];
    /** Calls `listener` when a node's condition changes; the returned function ends that. */
    subscribeMembers(listener: (member: MemberView) => void): () => void;
    /** Tells the other nodes that this one leaves; resolves once its neighbours know, after 2 s at the latest. */
    leave(): Promise<void>;
    countTraffic(): TrafficCount;
}
