/**
 * @module Counting the bytes of the traffic between nodes.
 */
import { NodeCall, type TrafficCount } from "../nodeTransport";
import { CALL_OVERHEAD_BYTES, CONNECTION_OVERHEAD_BYTES } from "./constants";

/** A count that grows. */
export interface TrafficCounter {
    addSent(bytes: number): void;
    addReceived(bytes: number): void;
    addCall(call: NodeCall): void;
    addConnection(): void;
    readCount(): TrafficCount;
}

/** Creates a count of nothing. Bodies are counted exactly; what surrounds them by constants that the bench checks. */
export function createTrafficCounter(): TrafficCounter {
    let sentBytes = 0;
    let receivedBytes = 0;
    let connections = 0;
    const calls = Object.fromEntries(Object.values(NodeCall).map(call => [call, 0])) as Record<NodeCall, number>;
    return {
        addSent: bytes => {
            sentBytes += bytes + CALL_OVERHEAD_BYTES;
        },
        addReceived: bytes => {
            receivedBytes += bytes + CALL_OVERHEAD_BYTES;
        },
        addCall: call => {
            calls[call]++;
        },
        addConnection: () => {
            connections++;
            sentBytes += CONNECTION_OVERHEAD_BYTES;
            receivedBytes += CONNECTION_OVERHEAD_BYTES;
        },
        readCount: () => ({ sentBytes, receivedBytes, calls: { ...calls }, connections }),
    };
}
