/**
 * @module The known nodes, for other tasks.
 */
import type { MemberCondition } from "../../decisions/membership/member";
import type { Placement } from "../../model/endpoint";
import type { NodeAddress, TrafficCount } from "../../nodes/nodeTransport";

/** Another node, or this one, as this node sees it. */
export interface MemberView extends Placement, NodeAddress {
    readonly nodeId: string;
    readonly incarnation: number;
    readonly condition: MemberCondition;
    /** True if the node is considered reachable now. Also false for nodes of a region that is out of reach. */
    readonly isLive: boolean;
}

/** Client of the membership task. */
export interface MembershipClient {
    /** Lists every known node, including this one and nodes that died or left recently. */
    listMembers(): readonly MemberView[];
    /** Calls `listener` when a node's condition changes; the returned function unsubscribes. */
    subscribeMembers(listener: (member: MemberView) => void): () => void;
    /** Announces that this node leaves; resolves once its neighbours have been told, after 2 s at the latest. */
    leave(): Promise<void>;
    countTraffic(): TrafficCount;
}
