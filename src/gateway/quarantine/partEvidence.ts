/**
 * @module What this node knows of prompt parts that crash endpoints, as it is exchanged with the other nodes.
 */
import type { SuspectParts } from "../../decisions/relays/news";

/** The evidence of this node. */
export interface PartEvidenceSource {
    /** Gives all crashes that this node knows, by its own and by other nodes' evidence, and its own clearances. */
    readEvidence(): SuspectParts;
    /**
     * Merges the evidence of the whole fleet, of this node too as of its last report. It comes several times a second,
     * may repeat, and may be older than what came before; a part that is not in it gives no new evidence.
     */
    mergeEvidence(suspects: SuspectParts): void;
}
