import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type Endpoint, VmRole } from "../../model/endpoint";
import { applyCacheEvents } from "./applyCacheEvents";
import { applyLoadReport } from "./applyLoadReport";
import type { Candidate } from "./candidate";
import { chooseCandidate, type ChoiceQuery } from "./chooseCandidate";
import { computeDigestPeriod } from "./computeDigestPeriod";
import { computeReportPeriod } from "./computeReportPeriod";
import { DIGEST_BYTES_LIMIT, LONGEST_REMOVAL_MS, SUBSET_LIMIT } from "./constants";
import { countCachedBlocks } from "./countCachedBlocks";
import { createCandidate } from "./createCandidate";
import { createPrefixIndex } from "./createPrefixIndex";
import { decodeLoadDigest } from "./decodeLoadDigest";
import { encodeLoadDigest } from "./encodeLoadDigest";
import { findCachedBlocks } from "./findCachedBlocks";
import { recordFailure, Removal } from "./recordFailure";
import { recordPrefixes } from "./recordPrefixes";
import { recordProbe } from "./recordProbe";
import { recordAttemptSent } from "./recordAttemptSent";
import { recordSuccess } from "./recordSuccess";
import { refreshCandidate } from "./refreshCandidate";
import { selectSubset } from "./selectSubset";
import { summarizeCapacity } from "./summarizeCapacity";

const NODE_PLACEMENT = { region: "hobart", failureDomain: "hobart-a" };

function createEndpoint(endpointId: string, change: Partial<Endpoint> = {}): Endpoint {
    const place = { ...NODE_PLACEMENT, address: "127.0.0.1", port: 1 };
    const kind = { role: VmRole.ModelRunner as const, machineClass: "m", isReclaimable: true };
    return { endpointId, ...place, ...kind, serviceName: "news", version: "v1", ...change };
}

function createMany(count: number, change: (index: number) => Partial<Endpoint> = () => ({})): Candidate[] {
    return Array.from({ length: count }, (_, index) =>
        createCandidate(createEndpoint(`e${index}`, change(index)), 1, NODE_PLACEMENT),
    );
}

function createQuery(change: Partial<ChoiceQuery> = {}): ChoiceQuery {
    const limits = { targetMs: 1_200, remainingMs: 1_200, costCeilingMicros: 1_000 };
    const size = { promptTokens: 640, prefixHashes: [], excludedEndpointIds: [] };
    return { version: "v1", route: "chat", ...size, ...limits, ...change };
}

function choose(candidates: readonly Candidate[], change: Partial<ChoiceQuery> = {}, index = createPrefixIndex()) {
    return chooseCandidate(candidates, createQuery(change), index, [0, 0])?.candidate.endpoint.endpointId;
}

describe("applyLoadReport", () => {
    const report = { endpointId: "e0", running: 10, waiting: 0, pendingPrefillTokens: 3_000, cacheUse: 0.1 };
    const speeds = { prefillTokensPerSecond: 8_000, tokenGapMs: 20, ageMs: 200 };

    it("subtracts this node's load at the time of the sample, not its current load", () => {
        const candidate = createCandidate(createEndpoint("e0"), 1, NODE_PLACEMENT);
        recordAttemptSent(candidate, 1_000);
        refreshCandidate(candidate, 1_000, 0, 0);
        recordAttemptSent(candidate, 500);
        recordAttemptSent(candidate, 500);
        refreshCandidate(candidate, 1_200, 0, 11);
        applyLoadReport(candidate, { ...report, ...speeds }, 1_299);
        assert.equal(candidate.othersInFlight, 9);
        assert.equal(candidate.othersPrefillTokens, 2_000);
        assert.equal(candidate.ownInFlight, 3);
    });

    it("ignores reports that are older than the latest one", () => {
        const candidate = createCandidate(createEndpoint("e0"), 1, NODE_PLACEMENT);
        applyLoadReport(candidate, { ...report, ...speeds }, 2_000);
        applyLoadReport(candidate, { ...report, ...speeds, running: 50, ageMs: 1_500 }, 2_100);
        assert.equal(candidate.othersInFlight, 10);
    });

    it("is followed by a return to the mean, so that one idle report attracts requests only briefly", () => {
        const candidate = createCandidate(createEndpoint("e0"), 1, NODE_PLACEMENT);
        applyLoadReport(candidate, { ...report, ...speeds }, 1_000);
        applyLoadReport(candidate, { ...report, ...speeds, running: 0, pendingPrefillTokens: 0 }, 2_000);
        assert.equal(candidate.othersPrefillTokens, 0);
        refreshCandidate(candidate, 6_000, 0, 0);
        assert.ok(Math.abs(candidate.othersPrefillTokens - 2_100) < 10);
    });

    it("learns the number of slots from reports with waiting requests", () => {
        const candidate = createCandidate(createEndpoint("e0"), 1, NODE_PLACEMENT);
        for (let step = 1; step <= 40; step++) {
            const running = Math.min(64, Math.floor(candidate.slots));
            applyLoadReport(candidate, { ...report, ...speeds, running, waiting: running === 64 ? 3 : 0 }, step * 500);
        }
        assert.ok(candidate.slots >= 64 && candidate.slots < 66, String(candidate.slots));
    });

    it("shares the free slots among nodes, so that together they take no more than there are", () => {
        const nodes = Array.from({ length: 7 }, () => createCandidate(createEndpoint("e0"), 1, NODE_PLACEMENT));
        nodes.forEach(candidate => {
            candidate.slots = 40;
            applyLoadReport(candidate, { ...report, ...speeds, running: 26, pendingPrefillTokens: 500 }, 1_000);
        });
        const admitted = nodes.map((candidate, node) => {
            const query = { costCeilingMicros: 1, isVersionUsed: () => true, estimateErrorMs: 0, ownInFlight: 0 };
            const share = { demandShare: 1 / 7, roundingFraction: node / 7 };
            let count = 0;
            while (summarizeCapacity([candidate], { ...query, ...share }).freeSlots >= 1) {
                recordAttemptSent(candidate, 0);
                count++;
            }
            return count;
        });
        const total = admitted.reduce((sum, count) => sum + count, 0);
        assert.ok(total >= 12 && total <= 17, `14 slots are free and 2 requests may wait; the nodes admitted ${total}`);
    });
});

describe("outcomes of attempts and probes", () => {
    it("remove an endpoint after three consecutive failures, but never more than half of all endpoints", () => {
        const candidates = createMany(4);
        const removals = candidates.map(candidate =>
            [1, 2, 3].map(atMs => recordFailure(candidate, "chat", candidates, atMs)),
        );
        const { None, Endpoint } = Removal;
        assert.deepEqual(removals[0], [None, None, Endpoint]);
        assert.deepEqual(
            removals.map(list => list.includes(Endpoint)),
            [true, true, false, false],
        );
    });

    it("remove only the route when another route of the endpoint works", () => {
        const candidates = createMany(3);
        const candidate = candidates[0] as Candidate;
        let removal = Removal.None;
        for (let step = 0; step < 6; step++) {
            removal = recordFailure(candidate, "/tags", candidates, step * 10);
            recordSuccess(candidate, "/articles", step * 10 + 5);
            if (removal !== Removal.None) {
                break;
            }
        }
        assert.equal(removal, Removal.Route);
        assert.equal(choose([candidate], { route: "/tags" }), undefined);
        assert.equal(choose([candidate], { route: "/articles" }), "e0");
    });

    it("lengthen the removal with each failed probe, up to a limit", () => {
        const candidates = createMany(2);
        const candidate = candidates[0] as Candidate;
        recordProbe(candidate, false, candidates, 0);
        const first = candidate.outcomes.removedUntilMs;
        for (let step = 0; step < 10; step++) {
            recordProbe(candidate, false, candidates, 0);
        }
        assert.deepEqual([first, candidate.outcomes.removedUntilMs], [1_000, LONGEST_REMOVAL_MS]);
    });

    it("are recorded separately for a limited number of routes", () => {
        const candidates = createMany(2);
        for (let route = 0; route < 500; route++) {
            recordFailure(candidates[0] as Candidate, `/${route}`, candidates, 0);
        }
        assert.ok((candidates[0]?.routes.size ?? 0) <= 32);
    });
});

describe("cache events", () => {
    it("drop half of the prefixes after a gap and all of them after an engine restart", () => {
        const [candidate] = createMany(1) as [Candidate];
        const index = createPrefixIndex();
        const event = (sequence: number, prefixHash: string, isEvicted = false) => ({
            sequence,
            prefixHash,
            isEvicted,
        });
        const count = () => index.prefixes.get(candidate)?.size ?? 0;
        const four = ["a", "b", "c", "d"].map((hash, sequence) => event(sequence, hash));
        assert.equal(applyCacheEvents(index, candidate, four), 0);
        applyCacheEvents(index, candidate, [event(4, "a", true)]);
        assert.equal(count(), 3);
        assert.equal(applyCacheEvents(index, candidate, [event(9, "e")]), 4);
        assert.equal(count(), 2);
        applyCacheEvents(index, candidate, [event(0, "f")]);
        assert.deepEqual([...(index.prefixes.get(candidate) ?? [])], ["f"]);
        assert.deepEqual([...index.holders.keys()], ["f"]);
    });

    it("are counted for every holder, even if very many endpoints hold a prefix", () => {
        const candidates = createMany(100);
        const index = createPrefixIndex();
        candidates.slice(1).forEach(candidate => recordPrefixes(index, candidate, ["a", "b"]));
        recordPrefixes(index, candidates[1] as Candidate, ["c"]);
        findCachedBlocks(index, ["a", "b", "c", "d"]);
        const blocks = candidates.map(candidate => countCachedBlocks(index, candidate));
        assert.deepEqual(blocks.slice(0, 3), [0, 3, 2]);
        assert.ok(blocks.slice(2).every(count => count === 2));
    });

    it("leave a limited number of prefixes per endpoint", () => {
        const [candidate] = createMany(1) as [Candidate];
        const index = createPrefixIndex();
        recordPrefixes(
            index,
            candidate,
            Array.from({ length: 3_000 }, (_, number) => `p${number}`),
        );
        assert.equal(index.holders.size, 1_024);
        assert.equal(findCachedBlocks(index, ["p0"]).size, 0);
        assert.equal(findCachedBlocks(index, ["p2999"]).size, 1);
    });
});

describe("selectSubset", () => {
    const endpoints = Array.from({ length: 600 }, (_, index) => {
        const region = `region-${index % 5}`;
        return createEndpoint(`e${index}`, { region, failureDomain: `${region}-${index % 3}` });
    });
    const node = { region: "region-1", failureDomain: "region-1-0" };

    it("covers every failure domain and leaves enough endpoints when one is lost", () => {
        const subset = selectSubset(endpoints, "node-1", node);
        const own = endpoints.filter(({ endpointId, region }) => subset.has(endpointId) && region === node.region);
        const domains = new Map<string, number>();
        own.forEach(({ failureDomain }) => domains.set(failureDomain, (domains.get(failureDomain) ?? 0) + 1));
        assert.equal(domains.size, 3);
        assert.ok(own.length - Math.max(...domains.values()) >= 20);
        assert.ok(subset.size <= 1.5 * SUBSET_LIMIT);
    });

    it("replaces only one endpoint when one goes away", () => {
        const before = selectSubset(endpoints, "node-1", node);
        const [gone] = before;
        const after = selectSubset(
            endpoints.filter(({ endpointId }) => endpointId !== gone),
            "node-1",
            node,
        );
        assert.equal([...after].filter(endpointId => !before.has(endpointId)).length, 1);
    });
});

describe("load digests", () => {
    it("are decoded to within 3% of the encoded values and stay within their size limit", () => {
        const service = fc.record({
            serviceHash: fc.integer({ min: 0, max: 65_535 }),
            demandTokensPerSecond: fc.integer({ min: 0, max: 1_000_000 }),
            inFlight: fc
                .uniqueArray(fc.integer({ min: 0, max: 65_535 }), { maxLength: 15 })
                .chain(hashes =>
                    fc.tuple(...hashes.map(hash => fc.tuple(fc.constant(hash), fc.integer({ min: 1, max: 9_999 })))),
                )
                .map(entries => new Map(entries)),
        });
        fc.assert(
            fc.property(fc.array(service, { maxLength: 6 }), digest => {
                const bytes = encodeLoadDigest(digest);
                const decoded = decodeLoadDigest(bytes);
                assert.ok(bytes.length <= DIGEST_BYTES_LIMIT && decoded !== undefined);
                for (const entry of decoded) {
                    const sent = digest.filter(other => other.serviceHash === entry.serviceHash);
                    assert.ok(
                        sent.some(
                            other =>
                                Math.abs(entry.demandTokensPerSecond - other.demandTokensPerSecond) <=
                                    0.031 * other.demandTokensPerSecond &&
                                [...entry.inFlight].every(([hash, count]) => {
                                    const real = other.inFlight.get(hash) ?? 0;
                                    return Math.abs(count - real) <= 0.031 * real;
                                }),
                        ),
                    );
                }
            }),
            { seed: 4, numRuns: 300 },
        );
    });

    it("are ignored if they have another format version or are truncated", () => {
        const bytes = encodeLoadDigest([{ serviceHash: 7, demandTokensPerSecond: 10, inFlight: new Map([[1, 2]]) }]);
        assert.equal(decodeLoadDigest(bytes.slice(0, -1)), undefined);
        assert.equal(decodeLoadDigest(Uint8Array.from([9, ...bytes.slice(1)])), undefined);
        assert.equal(decodeLoadDigest(new Uint8Array()), undefined);
    });

    it("stay within the byte budget of 400 nodes, as do load reports", () => {
        const digestBytesPerSecond = (400 * (96 + 24) * 1_000) / computeDigestPeriod(400);
        const reportBytesPerSecond = (48 * 350 * 1_000) / computeReportPeriod(48, 400);
        assert.ok(digestBytesPerSecond <= 1_250 && reportBytesPerSecond <= 2_000);
    });
});
