/**
 * @module An exchange that can be handed out before the one behind it exists.
 */
import { ExchangeTopic, type ExchangeUpdate, type NodeExchange } from "./nodeExchange";

/** An exchange that gets its target later. */
export interface DeferredExchange extends NodeExchange {
    /** Sets the exchange that everything goes to from now on. Updates published before are lost. */
    setTarget(target: NodeExchange): void;
}

/**
 * Creates the exchange. It breaks the circle between the directory, which hears of VMs through other nodes, and the
 * membership, which learns from the directory which nodes there are.
 *
 * @param nodeId - This node, the only one listed before there is a target
 * @returns The exchange
 * @example
 * const exchange = createDeferredExchange("node-1");
 * const directory = createDirectoryTask({ exchange, ...others });
 * exchange.setTarget(createMembershipTask({ directory, ...others }));
 */
export function createDeferredExchange(nodeId: string): DeferredExchange {
    let target: NodeExchange | undefined;
    const listeners = new Map<ExchangeTopic, Set<(update: ExchangeUpdate) => void>>(
        Object.values(ExchangeTopic).map(topic => [topic, new Set()]),
    );
    return {
        publishUpdate: (topic, key, payload) => target?.publishUpdate(topic, key, payload),
        subscribeTopic: (topic, listener) => {
            listeners.get(topic)?.add(listener);
            return () => void listeners.get(topic)?.delete(listener);
        },
        listLiveNodeIds: () => target?.listLiveNodeIds() ?? [nodeId],
        setTarget: exchange => {
            target = exchange;
            for (const [topic, topicListeners] of listeners) {
                exchange.subscribeTopic(topic, update => topicListeners.forEach(listener => listener(update)));
            }
        },
    };
}
