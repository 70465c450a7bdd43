import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import dgram from "node:dgram";
import { once } from "node:events";
import { waitUntil } from "../../adapters/contracts/waitUntil";
import { createSystemClock } from "../../base/createSystemClock";
import { createLog } from "../../base/log/createLog";
import { chooseRelays } from "../../decisions/relays/chooseRelays";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import type { EndpointActivity, NodeIdentity } from "../../decisions/relays/news";
import { createFleetNews, type FleetNews } from "./createFleetNews";
import type { FleetNewsOptions } from "./fleetNewsOptions";

/** An address of this process alone: other runs of this test on the machine use the same ports. */
const ADDRESS = `127.0.${1 + (process.pid % 250)}.1`;
const FIRST_PORT = 17_620;
/** Longer than a node counts as in touch after its last view. */
const ODD_NEWS_MS = 4_000;

interface RunningNode {
    readonly identity: NodeIdentity;
    readonly news: FleetNews;
    activity: ReadonlyMap<string, EndpointActivity>;
}

let running: RunningNode[] = [];
/** A socket of a former process. */
let holder: dgram.Socket | undefined;

function makeIdentity(index: number, failureDomain: string): NodeIdentity {
    const node = `${failureDomain}-${index}`;
    return { node, life: `${node}-a`, failureDomain, address: ADDRESS, port: FIRST_PORT + index, capacity: 1 };
}

/** Starts nodes that know the members of their failure domain and, as from the store, one node of each other. */
function startNodes(
    identities: readonly NodeIdentity[],
    changes: Partial<FleetNewsOptions> = {},
): readonly RunningNode[] {
    const domains = [...new Set(identities.map(({ failureDomain }) => failureDomain))];
    const nodes = identities.map(identity => {
        const node: RunningNode = {
            identity,
            activity: new Map(),
            news: createFleetNews({
                self: identity,
                failureDomains: domains,
                quotaWindowMs: 8_000,
                readOwnNews: () => ({
                    countsForMs: 8_000,
                    usage: { county: { used: 10, recent: 0, asked: 2 } },
                    loads: { chat: { tokensPerSecond: 10, inFlight: 1 } },
                    endpoints: { "i-1": { inFlight: 1, pendingTokens: 50 } },
                }),
                readCounts: () => ({ atMs: 1, windows: { 3: { county: 4 } } }),
                isNearEndpoint: () => true,
                evidence: { readEvidence: () => ({}), mergeEvidence: () => undefined },
                rollouts: { readReports: () => ({}), mergeReports: () => undefined },
                limits: { readLimits: () => ({}), mergeLimits: () => undefined },
                handleActivity: activity => (node.activity = activity),
                clock: createSystemClock(),
                log: createLog({ write: () => undefined }),
                reportFailure: () => undefined,
                ...changes,
            }),
        };
        return node;
    });
    for (const { identity, news } of nodes) {
        news.addStoredRelays(
            domains.flatMap(domain => {
                const members = identities.filter(({ failureDomain }) => failureDomain === domain);
                return members.map(member => ({ identity: member, nodes: members.length }));
            }),
        );
        news.addMembers(identities.filter(({ failureDomain }) => failureDomain === identity.failureDomain));
    }
    running = [...nodes];
    return nodes;
}

describe("the news between nodes", () => {
    afterEach(() => {
        running.forEach(({ news }) => news.dispose());
        running = [];
        holder?.close();
        holder = undefined;
    });

    it("reach every node of every failure domain through relays, each node counted once", async () => {
        const west = [0, 1, 2, 3, 4, 5].map(index => makeIdentity(index, "west"));
        const east = [6, 7, 8].map(index => makeIdentity(index, "east"));
        const nodes = startNodes([...west, ...east]);
        await waitUntil(() => nodes.every(({ news }) => news.readUsage().reachable === 9), "all know of all");
        for (const { news, activity } of nodes) {
            const usage = news.readUsage();
            assert.deepEqual([usage.nodes, usage.usage["county"]?.used, usage.isCounted], [9, 90, true]);
            assert.equal(news.readLoad("chat").inFlight, 9);
            assert.deepEqual(activity.get("i-1"), { inFlight: 8, pendingTokens: 400 });
        }
        assert.equal(nodes.filter(({ news }) => news.isRelay()).length, 3);
        assert.equal(nodes.filter(({ news }) => news.readRowSources().role === RowRole.Reader).length, 1);
    });

    it("go on through the next relay when the first one dies, with its usage still counted", async () => {
        const nodes = startNodes([0, 1, 2, 3, 4, 5].map(index => makeIdentity(index, "west")));
        await waitUntil(() => nodes.every(({ news }) => news.readUsage().reachable === 6), "all know of all");
        const first = nodes.find(({ news, identity }) => news.isRelay() && isFirstChoice(nodes, identity));
        assert.ok(first !== undefined);
        first.news.dispose();
        running = nodes.filter(node => node !== first);
        await waitUntil(
            () => running.every(({ news }) => news.isInTouch() && news.readUsage().reachable === 5),
            "the others know of each other again",
        );
        for (const { news } of running) {
            const usage = news.readUsage();
            assert.equal(usage.nodes, 6);
            assert.equal((usage.usage["county"]?.used ?? 0) + (usage.silentUsage["county"] ?? 0), 60);
        }
    });

    // Guards against: a node whose port a former process still holds at its start never hears of the others again.
    it("begin once a former process lets the port of a node go", async () => {
        const identities = [0, 1, 2].map(index => makeIdentity(index, "west"));
        const [relay] = chooseRelays(identities, 1);
        const late = identities.find(identity => identity !== relay);
        holder = dgram.createSocket("udp4").bind(late?.port, ADDRESS);
        await once(holder, "listening");
        const nodes = startNodes(identities);
        const others = nodes.filter(({ identity }) => identity !== late);
        await waitUntil(() => others.every(({ news }) => news.readUsage().reachable === 2), "the others know");
        assert.equal(nodes.filter(({ news }) => !news.isInTouch()).length, 1);
        holder.close();
        holder = undefined;
        await waitUntil(() => nodes.every(({ news }) => news.readUsage().reachable === 3), "all know of all");
    });

    it("survive datagrams that are no messages", async () => {
        const nodes = startNodes([0, 1].map(index => makeIdentity(index, "west")));
        const socket = dgram.createSocket("udp4");
        const garbage = [
            "",
            "{}",
            "[]",
            '["r"]',
            '["v",1,2]',
            '["s",["a","b","west",-1],1,[1,1],[0,{},{},{}],{}]',
            "\u0000",
        ];
        for (const text of garbage) {
            socket.send(Buffer.from(text), FIRST_PORT, ADDRESS);
        }
        await waitUntil(() => nodes.every(({ news }) => news.readUsage().reachable === 2), "all know of all");
        socket.close();
    });

    // Guards against: one datagram that names a node without a usable port ends each later exchange of a node half-way.
    it("go on after a datagram that names nodes whose ports or addresses are none", async () => {
        const nodes = startNodes([0, 1, 2].map(index => makeIdentity(index, "west")));
        await waitUntil(() => nodes.every(({ news }) => news.readUsage().reachable === 3), "all know of all");
        const socket = dgram.createSocket("udp4");
        const odd = [
            ["127.0.0.1", 99_999],
            ["127.0.0.1", 1.5],
            ["127.0.0.1", -1],
            ["", 17_640],
            ["no address", 17_641],
        ];
        const members = odd.map(([address, port], index) => [`odd-${index}`, `odd-${index}-a`, address, port, 500]);
        for (const { port } of nodes.map(({ identity }) => identity)) {
            socket.send(JSON.stringify(["m", "odd-0", "west", members]), port, ADDRESS);
        }
        await sleepMs(ODD_NEWS_MS);
        socket.close();
        for (const { news } of nodes) {
            assert.deepEqual([news.isInTouch(), news.readUsage().reachable], [true, 3]);
        }
    });

    // Guards against: an error in one period or datagram of the news reaches the process.
    it("go on after errors of what they are given, which are reported", async () => {
        const reported: string[] = [];
        let calls = 0;
        const handleActivity = () => {
            if (calls++ < 3) {
                throw new Error("planted");
            }
        };
        const reportFailure = (owner: string) => void reported.push(owner);
        const nodes = startNodes(
            [0, 1].map(index => makeIdentity(index, "west")),
            { handleActivity, reportFailure },
        );
        await waitUntil(() => calls > 3, "it goes on after the errors");
        await waitUntil(() => nodes.every(({ news }) => news.readUsage().reachable === 2), "all know of all");
        assert.deepEqual(reported, ["news", "news", "news"]);
    });
});

function sleepMs(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** True if all nodes read rows from this one first. */
function isFirstChoice(nodes: readonly RunningNode[], identity: NodeIdentity): boolean {
    return nodes
        .filter(({ news }) => !news.isRelay())
        .every(({ news }) => news.readRowSources().nodes[0]?.node === identity.node);
}
