/**
 * @module Direct and indirect probes of a node that did not answer.
 */
import { EXCHANGE_TIMEOUT_MS, INDIRECT_PROBE_TIMEOUT_MS } from "../../../decisions/membership/constants";
import { decodeProbeReply, encodeProbeRequest } from "../../../nodes/nodeMessages";
import { type NodeAddress, NodeCall, type NodeTransport } from "../../../nodes/nodeTransport";

/** A node and where it is reached. */
export interface ProbeTarget extends NodeAddress {
    readonly nodeId: string;
}

/**
 * Probes a node on a new connection and through helpers, in parallel. One answer is enough.
 *
 * @param transport - Connections to other nodes
 * @param selfId - Id of this node
 * @param target - The node that did not answer
 * @param helpers - Nodes asked to probe it too
 * @returns True if the node answered this node or a helper
 */
export async function probeMember(
    transport: NodeTransport,
    selfId: string,
    target: ProbeTarget,
    helpers: readonly NodeAddress[],
): Promise<boolean> {
    const probes = [
        probeDirectly(transport, selfId, target),
        ...helpers.map(helper => probeIndirectly(transport, selfId, target, helper)),
    ];
    return new Promise(resolve => {
        let remaining = probes.length;
        const handleResult = (isReached: boolean) => {
            remaining--;
            if (isReached || remaining === 0) {
                resolve(isReached);
            }
        };
        probes.forEach(probe => void probe.then(handleResult, () => handleResult(false)));
    });
}

/** Probes a node on a new connection; an answer from another node at the same address does not count. */
export async function probeDirectly(transport: NodeTransport, selfId: string, target: ProbeTarget): Promise<boolean> {
    const answer = await transport.callNode(target, NodeCall.Probe, encodeProbeRequest({ fromNodeId: selfId }), {
        timeoutMs: EXCHANGE_TIMEOUT_MS,
        isNewConnection: true,
    });
    const reply = answer.andThen(decodeProbeReply);
    return reply.isOk() && reply.value.isReached && reply.value.nodeId === target.nodeId;
}

async function probeIndirectly(
    transport: NodeTransport,
    selfId: string,
    target: ProbeTarget,
    helper: NodeAddress,
): Promise<boolean> {
    const request = encodeProbeRequest({ fromNodeId: selfId, target });
    const answer = await transport.callNode(helper, NodeCall.Probe, request, {
        timeoutMs: INDIRECT_PROBE_TIMEOUT_MS,
    });
    const reply = answer.andThen(decodeProbeReply);
    return reply.isOk() && reply.value.isReached;
}
