import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDeferredExchange } from "./createDeferredExchange";
import { ExchangeTopic, type ExchangeUpdate, type NodeExchange } from "./nodeExchange";

describe("createDeferredExchange", () => {
    it("carries both ways once it has a target, also for earlier subscribers", () => {
        const published: string[] = [];
        const targetListeners: ((update: ExchangeUpdate) => void)[] = [];
        const target: NodeExchange = {
            publishUpdate: (...[, key]) => published.push(key),
            subscribeTopic: (topic, listener) => {
                if (topic === ExchangeTopic.Brake) {
                    targetListeners.push(listener);
                }
                return () => undefined;
            },
            listLiveNodeIds: () => ["node-1", "node-2"],
        };
        const exchange = createDeferredExchange("node-1");
        const heard: string[] = [];
        const release = exchange.subscribeTopic(ExchangeTopic.Brake, update => heard.push(update.key));
        exchange.publishUpdate(ExchangeTopic.Brake, "too early", new Uint8Array());
        assert.deepEqual(exchange.listLiveNodeIds(), ["node-1"]);

        exchange.setTarget(target);
        exchange.publishUpdate(ExchangeTopic.Brake, "later", new Uint8Array());
        const update = { topic: ExchangeTopic.Brake, fromNodeId: "node-2", key: "v2", payload: new Uint8Array() };
        targetListeners.forEach(listener => listener(update));
        release();
        targetListeners.forEach(listener => listener(update));

        assert.deepEqual(published, ["later"]);
        assert.deepEqual(heard, ["v2"]);
        assert.deepEqual(exchange.listLiveNodeIds(), ["node-1", "node-2"]);
    });
});
