/**
 * @module How tasks of different nodes tell each other things that may be lost and are soon replaced.
 */

/** What updates are about. */
export enum ExchangeTopic {
    /** Accepted configuration changes. */
    Configuration = "configuration",
    /** A version braked by a node. */
    Brake = "brake",
    /** Load a node has put on endpoints. */
    LoadDigest = "load_digest",
    /** VMs that are leaving or gone. */
    VmLeaving = "vm_leaving",
    /** Evidence about versions. */
    VersionEvidence = "version_evidence",
}

/** An update from another node. */
export interface ExchangeUpdate {
    readonly topic: ExchangeTopic;
    readonly fromNodeId: string;
    /** Newer updates of the same node, topic and key replace older ones. */
    readonly key: string;
    readonly payload: Uint8Array;
}

/** Handle of the exchange between nodes. Total traffic of a node stays inside its byte budget. */
export interface NodeExchange {
    /** Sends an update to the other nodes, directly or through others. Never waits. */
    publishUpdate(topic: ExchangeTopic, key: string, payload: Uint8Array): void;
    /** Calls `listener` for each update of a topic; the returned function ends that. */
    subscribeTopic(topic: ExchangeTopic, listener: (update: ExchangeUpdate) => void): () => void;
    /** Ids of the nodes believed alive, this one included. */
    listLiveNodeIds(): readonly string[];
}
