import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { waitUntil } from "../adapters/contracts/waitUntil";
import { createSystemClock } from "../base/createSystemClock";
import { createLog } from "../base/log/createLog";
import { createAccountQuotas, type PeerView } from "../decisions/gateway/accountQuotas";
import { type AnnouncedPrompt, createPeerExchange } from "./createPeerExchange";
import type { Membership } from "./createMembership";
import { createClusterTime } from "./createClusterTime";
import { createUsageLedger } from "./createUsageLedger";
import { createUsageMeter } from "./createUsageMeter";
import type { MemberRecord } from "./memberRecord";
import { makeSettings } from "./_testing/createGatewayHarness";

const ADDRESS = "127.0.0.1";
const PORTS = { left: 17_611, right: 17_612 };

function makeMember(node: keyof typeof PORTS): MemberRecord {
    return { node, life: `${node}-1`, address: ADDRESS, port: PORTS[node], atMs: 0, windows: {} };
}

function startExchange(
    node: keyof typeof PORTS,
    others: readonly MemberRecord[],
    isCounted: boolean,
    prompts: AnnouncedPrompt[] = [],
) {
    const clock = createSystemClock();
    const clusterTime = createClusterTime(clock);
    const membership: Membership = {
        life: `${node}-1`,
        listOthers: () => others,
        isLoaded: () => true,
        isCounted: () => isCounted,
        describeSelf: () => makeMember(node),
        readRecords: async () => [],
        dispose: () => undefined,
    };
    return createPeerExchange({
        node,
        address: ADDRESS,
        port: PORTS[node],
        membership,
        quotas: createAccountQuotas(makeSettings().bounds, undefined),
        ledger: createUsageLedger(),
        usage: createUsageMeter(clusterTime, 5_000),
        clusterTime,
        handlePrompt: prompt => prompts.push(prompt),
        readLoads: () => ({ chat: { tokensPerSecond: 10, inFlight: 1 } }),
        clock,
        log: createLog({ write: () => undefined }),
    });
}

describe("the message exchange between nodes", () => {
    it("sends to a node that is not in the list of members yet, and counts it", async () => {
        const left = startExchange("left", [], true);
        const right = startExchange("right", [makeMember("left")], false);
        assert.deepEqual(right.readView(), { nodes: 2, heard: [], isCounted: false } satisfies PeerView);
        await waitUntil(
            () => left.readView().nodes === 2 && right.readView().isCounted,
            "both receive messages of each other",
        );
        const view = right.readView();
        assert.deepEqual([view.nodes, view.heard.map(({ node }) => node), view.isCounted], [2, ["left"], true]);
        assert.equal(view.heard[0]?.countsForMs, makeSettings().bounds.quotaWindowMs);
        assert.equal(right.listLoads("chat").length, 2);
        left.dispose();
        await waitUntil(() => right.readView().heard.length === 0, "the left node counts as disconnected");
        assert.equal(right.readView().isCounted, false);
        right.dispose();
    });

    it("announces a long prompt at once", async () => {
        const prompts: AnnouncedPrompt[] = [];
        const left = startExchange("left", [], true, prompts);
        const right = startExchange("right", [makeMember("left")], true);
        right.announcePrompt({ endpointId: "i-1", tokens: 9_000 });
        await waitUntil(() => prompts.length > 0, "the prompt is announced");
        assert.deepEqual(prompts, [{ endpointId: "i-1", tokens: 9_000 }]);
        [left, right].forEach(exchange => exchange.dispose());
    });
});
