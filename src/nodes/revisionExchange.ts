/**
 * @module How the configuration tasks of different nodes compare revisions and hand each other changes.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { Placement } from "../model/endpoint";

/** The newest revision that a node is known to have applied. */
export interface NodeRevision extends Placement {
    readonly nodeId: string;
    /** 0 while nothing is known. */
    readonly revision: number;
    /** True while the node is suspected of having failed. */
    readonly isSuspect: boolean;
}

/** Gives the changes after a revision, encoded; empty if this node has none. */
export type ChangesReader = (afterRevision: number) => Uint8Array;

/** Handle of the part of the exchange that carries configuration revisions. */
export interface RevisionExchange {
    /** Tells the other nodes which revision this node has applied. */
    publishRevision(revision: number): void;
    /** Lists all nodes that are not known to be dead or gone, this one included. */
    listRevisions(): readonly NodeRevision[];
    /** Calls `listener` when another node shows a revision; the returned function ends that. */
    subscribeRevisions(listener: (nodeId: string, revision: number) => void): () => void;
    /** Asks one node for the changes after a revision. Failures: `EndpointSilent`, `EndpointFailed`, `NotFound`. */
    readPeerChanges(nodeId: string, afterRevision: number): Promise<Result<Uint8Array, Failure>>;
    /** Sets what answers the other nodes' requests for changes. */
    setChangesReader(reader: ChangesReader): void;
}
