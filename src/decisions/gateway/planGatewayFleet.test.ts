import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { FleetBounds } from "../../model/gateway";
import { computeRequiredEndpoints, type DomainFleet, planGatewayFleet } from "./planGatewayFleet";

const BOUNDS: FleetBounds = {
    perDomainMin: 1,
    perDomainMax: 6,
    bootSeconds: 4,
    reclaimablePrice: 0.18,
    domainPrices: { a: 1, b: 0.8, c: 1.25 },
};

function makeFleet(changes: readonly Partial<DomainFleet>[]): readonly DomainFleet[] {
    return ["a", "b", "c"].map((failureDomain, index) => ({
        failureDomain,
        onDemand: 0,
        reclaimable: 0,
        reclaimableServing: 0,
        isReclaimableRefused: false,
        wasReclaimableRefused: false,
        isOnDemandRefused: false,
        ...changes[index],
    }));
}

const serving = (count: number) => ({ reclaimable: count, reclaimableServing: count });
const refused = { isReclaimableRefused: true, wasReclaimableRefused: true };

describe("the plan of a service's fleet", () => {
    it("leaves enough reclaimable endpoints after the loss of one failure domain", () => {
        const plan = planGatewayFleet(4, makeFleet([serving(2), serving(2), serving(2)]), BOUNDS);
        assert.deepEqual(
            plan.map(domain => domain.reclaimable),
            [2, 2, 2],
        );
        assert.deepEqual(
            plan.map(domain => domain.onDemand),
            [0, 0, 0],
        );
    });

    it("keeps on-demand endpoints until the reclaimable ones that replace them serve", () => {
        const starting = { onDemand: 2, reclaimable: 2, reclaimableServing: 0 };
        const waiting = planGatewayFleet(4, makeFleet([starting, starting, starting]), BOUNDS);
        assert.equal(
            waiting.reduce((sum, domain) => sum + domain.onDemand, 0),
            4,
        );
        const done = { onDemand: 2, ...serving(2) };
        const replaced = planGatewayFleet(4, makeFleet([done, done, done]), BOUNDS);
        assert.equal(
            replaced.reduce((sum, domain) => sum + domain.onDemand, 0),
            0,
        );
    });

    it("replaces reclaimed endpoints by on-demand ones while reclaimable ones are refused", () => {
        const fleet = makeFleet([
            { ...serving(0), ...refused },
            { ...serving(1), ...refused },
            { ...serving(0), ...refused },
        ]);
        const plan = planGatewayFleet(4, fleet, BOUNDS);
        assert.ok(plan.reduce((sum, domain) => sum + domain.onDemand, 0) >= 3);
        assert.deepEqual(
            plan.map(domain => domain.reclaimable),
            [0, 1, 0],
        );
    });

    it("keeps an on-demand reserve while reclaimable endpoints are refused", () => {
        const fleet = makeFleet([{ ...serving(0), ...refused }, serving(9), serving(0)]);
        const bounds = { ...BOUNDS, perDomainMax: 12 };
        const sumOnDemand = (domains: readonly DomainFleet[]) =>
            planGatewayFleet(9, domains, bounds).reduce((sum, domain) => sum + domain.onDemand, 0);
        assert.equal(sumOnDemand(fleet), 4);
        assert.equal(sumOnDemand(fleet.map(domain => ({ ...domain, wasReclaimableRefused: false }))), 2);
    });

    it("stays within the limits of each failure domain", () => {
        const anyCount = fc.nat(8);
        const anyDomain = fc.record({
            onDemand: anyCount,
            reclaimable: anyCount,
            reclaimableServing: anyCount,
            isReclaimableRefused: fc.boolean(),
            wasReclaimableRefused: fc.boolean(),
            isOnDemandRefused: fc.boolean(),
        });
        fc.assert(
            fc.property(
                fc.double({ min: 0, max: 60, noNaN: true }),
                fc.array(anyDomain, { minLength: 3, maxLength: 3 }),
                (required, domains) => {
                    for (const domain of planGatewayFleet(required, makeFleet(domains), BOUNDS)) {
                        assert.ok(domain.onDemand >= 0 && domain.reclaimable >= 0);
                        assert.ok(domain.onDemand + domain.reclaimable <= BOUNDS.perDomainMax);
                    }
                },
            ),
            { seed: 7 },
        );
    });

    it("requires more endpoints for more tokens and for more requests in progress", () => {
        const load = { tokensPerSecond: 90_000, inFlight: 40, tokensPerMs: 60, slots: 64 };
        assert.ok(computeRequiredEndpoints({ ...load, tokensPerSecond: 180_000 }) > computeRequiredEndpoints(load));
        assert.ok(computeRequiredEndpoints({ ...load, inFlight: 80 }) > computeRequiredEndpoints(load));
    });
});
