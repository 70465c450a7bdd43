import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import type { GatewaySettings } from "../../model/gateway";
import type { CallerRequestHead } from "../../ports/forwardingCodec";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { createEndpointRecord, recordLoad } from "../endpoints/endpointRecord";
import { createServiceSpeeds } from "../forwarding/createServiceSpeeds";
import { createSpillover, type SpilloverOptions } from "../forwarding/createSpillover";
import { createPickExplainer } from "./createPickExplainer";

const OBJECTIVE_MS = 100;
const PERIOD_MS = 150;
const DRAWS = 20_000;
const SLOTS = 40;
/** From a few free slots to more requests than the own failure domain keeps. */
const IN_FLIGHT_MIN = 38;
const IN_FLIGHT_SPAN = 31;
const EMPTY_HEAD: CallerRequestHead = {
    requestId: undefined,
    model: undefined,
    deadlineMs: undefined,
    promptTokens: undefined,
    outputTokensMax: undefined,
    promptParts: [],
    key: undefined,
    lastEventId: undefined,
};

/**
 * Creates a spillover of a node in `near`, whose endpoint there is full while those of `far` and `remote` are idle.
 *
 * @param domains - The failure domains with an endpoint that takes requests
 */
function createSubject(domains: readonly string[] = ["near", "far", "remote"]) {
    const clock = createManualClock();
    const random = createRandom(1);
    let effects = 0;
    const countEffect = () => void effects++;
    const records = domains.map(failureDomain => {
        const record = createEndpointRecord(
            makeEndpoint(failureDomain, { failureDomain }),
            { roundTripMs: 2, penaltyMs: 5 },
            clock,
        );
        recordLoad(record, { running: 0, waiting: 0, slots: SLOTS, pace: 100 }, 0);
        record.ownInFlight = failureDomain === "near" ? IN_FLIGHT_MIN : 0;
        return record;
    });
    const listUsable = () => {
        countEffect();
        return records;
    };
    const spillover = createSpillover({
        settings: {
            failureDomain: "near",
            regions: { near: "r", far: "r", remote: "s" },
            hasSpillover: true,
        } as unknown as GatewaySettings,
        clock,
        random: {
            ...random,
            drawFraction: () => {
                countEffect();
                return random.drawFraction();
            },
        },
        log: { info: countEffect } as unknown as SpilloverOptions["log"],
        speeds: createServiceSpeeds(),
        directory: { listUsable },
        evacuations: { readDomains: () => new Set() },
        limits: { isLimited: () => false },
        rollouts: { isServing: () => true },
        coldEndpoints: { isCold: () => false },
        news: {
            isInTouch: () => true,
            readLoad: () => ({ tokensPerSecond: 0, inFlight: 0 }),
            readUsage: () => ({ nodes: 1, reachable: 1 }) as never,
        },
        metrics: { countAttemptDistance: () => undefined, setSpilloverShare: countEffect },
        reportFailure: (_owner, error) => assert.fail(String(error)),
    });
    const drawDomain = () =>
        spillover
            .filterDomains("chat", OBJECTIVE_MS, records)
            .map(({ endpoint }) => endpoint.failureDomain)
            .join();
    const explain = (objectiveMs = OBJECTIVE_MS) =>
        spillover.explainDomains({ service: "chat", objectiveMs, takers: records, usable: records });
    const setInFlight = (failureDomain: string, inFlight: number) => {
        const record = records.find(({ endpoint }) => endpoint.failureDomain === failureDomain);
        Object.assign(record ?? assert.fail(), { ownInFlight: inFlight });
    };
    return { clock, drawDomain, explain, setInFlight, countEffects: () => effects };
}

describe("the explained failure domains of a request", () => {
    // Guards against: the explanation gives the shares of the last decision where the next request gets new ones, or
    // decides itself, so that asking changes what requests get.
    it("have the chances of the next requests, and asking changes nothing", () => {
        const asked = createSubject();
        const unasked = createSubject();
        let hasSpilled = false;
        for (let period = 0; period < 40; period++) {
            for (const { clock, setInFlight } of [asked, unasked]) {
                clock.advanceMs(PERIOD_MS);
                setInFlight("near", IN_FLIGHT_MIN + (period % IN_FLIGHT_SPAN));
            }
            const before = asked.countEffects();
            const first = asked.explain();
            // An objective that no request has must not change those of the decisions.
            asked.explain(OBJECTIVE_MS / 10);
            assert.deepEqual(asked.explain(), first);
            assert.equal(asked.countEffects(), before);
            assert.ok(Math.abs(first.reduce((sum, { chance }) => sum + chance, 0) - 1) < 1e-9);
            assert.equal(asked.drawDomain(), unasked.drawDomain());
            assert.equal(asked.countEffects(), unasked.countEffects());
            assert.deepEqual(asked.explain(), first, "the request decides as was explained");
            hasSpilled ||= first.length > 1;
        }
        assert.ok(hasSpilled);
        const counts = new Map<string, number>();
        const explained = asked.explain();
        for (let draw = 0; draw < DRAWS; draw++) {
            const domain = asked.drawDomain();
            counts.set(domain, (counts.get(domain) ?? 0) + 1);
        }
        for (const { domain, chance, records } of explained) {
            assert.deepEqual([...new Set(records.map(({ endpoint }) => endpoint.failureDomain))], [domain]);
            assert.ok(Math.abs((counts.get(domain ?? "") ?? 0) / DRAWS - chance) < 0.02, `${domain}: ${chance}`);
        }
    });

    // Guards against: chances that add up to less than 1 since the shares of the others leave a rest that can't stay.
    it("include what goes to any endpoint where no own one takes the request", () => {
        const { clock, explain, drawDomain, setInFlight } = createSubject(["remote"]);
        clock.advanceMs(PERIOD_MS);
        // A failure domain of another region is filled up to 36 requests, in halves: there is room for half a request.
        setInFlight("remote", 35);
        const outcomes = explain();
        assert.deepEqual(
            outcomes.map(({ domain, chance }) => [domain, Number(chance.toFixed(9))]),
            [
                ["remote", 0.5],
                [undefined, 0.5],
            ],
        );
        assert.ok(outcomes.every(({ records }) => records.length === 1));
        assert.equal(drawDomain(), "remote");
    });

    // Guards against: spillover decides anew while the endpoints are looked at, so that the chances don't add up to 1.
    it("are those of one decision", async () => {
        const harness = await createGatewayHarness(makeRoute(), []);
        const domains = ["near", "far", "remote"];
        const decisions = [domains, ["near"]].map(decided =>
            decided.map(domain => ({ domain, chance: 1 / decided.length, records: [] })),
        );
        const explainDomains = () => decisions.shift() ?? [];
        const explainPick = createPickExplainer(harness.components, { explainDomains });
        const outcomes = explainPick({
            exchange: { service: "chat", route: makeRoute(), head: EMPTY_HEAD, homeRegions: undefined },
            request: { promptTokens: 0, promptParts: [] },
            triedEndpoints: new Set(),
            sends: 0,
            isCareful: false,
            relay: { readLastEventId: () => undefined },
        });
        harness.dispose();
        assert.deepEqual(
            outcomes.map(({ domain, chance }) => [domain, chance]),
            domains.map(domain => [domain, 1 / 3]),
        );
    });
});
