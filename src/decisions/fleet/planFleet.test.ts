import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../../base/createRandom";
import { createDemand, createFleetExample } from "./_testing/createFleetExample";
import { buildOfferId } from "./buildGroupId";
import { type DeclaredGroup, type FleetOffer, type ExistingGroup, PlanFinding, type ServicePlan } from "./fleetPlan";
import { type FleetFacts, planFleet } from "./planFleet";

const SERVICE = "assistant";
const ROUNDING_FACTOR = 1 - 1e-6;

function computeUnitsAfterLoss(groups: readonly DeclaredGroup[], lostDomain: string): number {
    const left = groups.filter(group => group.failureDomain !== lostDomain);
    return left.reduce((sum, group) => sum + group.count * group.unitsPerVm, 0);
}

function planOne(facts: Partial<FleetFacts>, units: number, changes = {}): ServicePlan {
    const all = { offers: [], capacities: [], held: [], refusedOfferIds: new Set<string>(), ...facts };
    const [plan] = planFleet([createDemand(SERVICE, units, changes)], all).services;
    assert.ok(plan !== undefined);
    return plan;
}

function createOffer(failureDomain: string, microsPerHour: number, changes: Partial<FleetOffer> = {}): FleetOffer {
    return {
        region: "north",
        failureDomain,
        machineClass: "gpu-a",
        isReclaimable: true,
        microsPerHour,
        ...changes,
    };
}

const CAPACITY = {
    serviceName: SERVICE,
    machineClass: "gpu-a",
    unitsPerSecond: 100,
    latencyMs: 900,
    tokenGapMs: 20,
};
const OFFERS = [createOffer("hobart", 1_000), createOffer("launceston", 1_000), createOffer("burnie", 1_000)];

function toExistingGroups(plan: ServicePlan): readonly ExistingGroup[] {
    return plan.groups.map(group => ({ ...group }));
}

/** Finds the lowest price by trying all counts of up to `maximumCount` VMs of each offer. */
function findLowestPrice(
    offers: readonly FleetOffer[],
    units: readonly number[],
    demand: number,
    maximumCount: number,
) {
    let best = Infinity;
    const counts = offers.map(() => 0);
    const tryFrom = (index: number, price: number): void => {
        const offer = offers[index];
        if (price >= best) {
            return;
        }
        if (offer === undefined) {
            const domains = new Map<string, number>();
            offers.forEach(({ failureDomain }, each) =>
                domains.set(failureDomain, (domains.get(failureDomain) ?? 0) + counts[each]! * units[each]!),
            );
            const total = [...domains.values()].reduce((sum, value) => sum + value, 0);
            best = total - Math.max(...domains.values()) >= demand ? price : best;
            return;
        }
        for (let count = 0; count <= maximumCount; count++) {
            counts[index] = count;
            tryFrom(index + 1, price + count * offer.microsPerHour);
        }
        counts[index] = 0;
    };
    tryFrom(0, 0);
    return best;
}

describe("planFleet", () => {
    it("spreads VMs over equal domains with spare capacity for the loss of one", () => {
        const plan = planOne({ offers: OFFERS, capacities: [CAPACITY] }, 400);
        assert.deepEqual(plan.groups.map(group => [group.failureDomain, group.count]).sort(), [
            ["burnie", 2],
            ["hobart", 2],
            ["launceston", 2],
        ]);
        assert.deepEqual(plan.findings, []);
        assert.ok(plan.groups.every(group => group.reason.length > 20));
    });

    it("covers the demand after the loss of any one domain", () => {
        fc.assert(
            fc.property(
                fc.integer(),
                fc.integer({ min: 2, max: 6 }),
                fc.integer({ min: 1, max: 9_000 }),
                (seed, domains, units) => {
                    const example = createFleetExample(createRandom(seed), {
                        domains,
                        machineClasses: 2,
                        services: [SERVICE],
                    });
                    const plan = planOne(example, units);
                    assert.deepEqual(plan.findings, []);
                    for (let domain = 0; domain < domains; domain++) {
                        assert.ok(computeUnitsAfterLoss(plan.groups, `domain-${domain}`) >= units * ROUNDING_FACTOR);
                    }
                },
            ),
            { seed: 11, numRuns: 150 },
        );
    });

    it("never costs more than on-demand VMs alone", () => {
        fc.assert(
            fc.property(
                fc.integer(),
                fc.integer({ min: 2, max: 5 }),
                fc.integer({ min: 1, max: 9_000 }),
                (seed, domains, units) => {
                    const example = createFleetExample(createRandom(seed), {
                        domains,
                        machineClasses: 3,
                        services: [SERVICE],
                    });
                    const plan = planOne(example, units);
                    const onDemand = planOne(
                        { ...example, offers: example.offers.filter(offer => !offer.isReclaimable) },
                        units,
                    );
                    assert.ok(plan.microsPerHour <= onDemand.microsPerHour);
                    assert.equal(plan.onDemandMicrosPerHour, onDemand.microsPerHour);
                },
            ),
            { seed: 12, numRuns: 100 },
        );
    });

    it("costs at most 12% more than the optimum found by exhaustive search, and at most 2% more on average", () => {
        const ratios = Array.from({ length: 60 }, (_unused, seed) => {
            const random = createRandom(seed);
            const example = createFleetExample(random, {
                domains: 3,
                machineClasses: 2,
                services: [SERVICE],
                hasReclaimable: false,
            });
            const units = random.drawInteger(200, 2_500);
            const speeds = example.offers.map(
                offer =>
                    example.capacities.find(({ machineClass }) => machineClass === offer.machineClass)!.unitsPerSecond,
            );
            const best = findLowestPrice(example.offers, speeds, units, 8);
            return planOne(example, units).microsPerHour / best;
        });
        const worst = Math.max(...ratios);
        const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
        assert.ok(worst <= 1.12, `worst ${worst}`);
        assert.ok(mean <= 1.02, `mean ${mean}`);
    });

    it("uses only the existing VMs of an offer that refuses starts", () => {
        const held = [{ ...OFFERS[0]!, serviceName: SERVICE, version: "v1", count: 1 }];
        const refusedOfferIds = new Set([buildOfferId(OFFERS[0]!)]);
        const plan = planOne({ offers: OFFERS, capacities: [CAPACITY], held, refusedOfferIds }, 400);
        assert.ok((plan.groups.find(group => group.failureDomain === "hobart")?.count ?? 0) <= 1);
        assert.equal(plan.unitsAfterLoss >= 400, true);
    });

    it("keeps existing VMs through small price changes and replaces them after large ones", () => {
        const capacities = [CAPACITY, { ...CAPACITY, machineClass: "gpu-b" }];
        const before = planOne({ offers: OFFERS, capacities }, 400);
        const other = OFFERS.map(offer => ({ ...offer, machineClass: "gpu-b", microsPerHour: 950 }));
        const small = planOne({ offers: [...OFFERS, ...other], capacities, held: toExistingGroups(before) }, 400);
        assert.ok(small.groups.every(group => group.machineClass === "gpu-a"));
        const cheap = other.map(offer => ({ ...offer, microsPerHour: 500 }));
        const large = planOne({ offers: [...OFFERS, ...cheap], capacities, held: toExistingGroups(before) }, 400);
        assert.ok(large.groups.every(group => group.machineClass === "gpu-b"));
    });

    it("is stable: planning again with the planned VMs keeps the price", () => {
        for (let seed = 0; seed < 40; seed++) {
            const example = createFleetExample(createRandom(seed), {
                domains: 4,
                machineClasses: 2,
                services: [SERVICE],
            });
            const plan = planOne(example, 3_000);
            const again = planOne({ ...example, held: toExistingGroups(plan) }, 3_000);
            assert.equal(again.microsPerHour, plan.microsPerHour, `seed ${seed}`);
        }
    });

    const FINDING_CASES: readonly {
        name: string;
        offers: readonly FleetOffer[];
        changes?: object;
        finding: PlanFinding;
    }[] = [
        { name: "there is no offer", offers: [], finding: PlanFinding.NoOffer },
        { name: "only one domain is usable", offers: [OFFERS[0]!], finding: PlanFinding.NoSecondDomain },
        {
            name: "no machine class meets the latency target",
            offers: OFFERS,
            changes: {
                targets: [{ className: "c", latencyTargetMs: 100, tokenGapTargetMs: 28, costCeilingMicros: 1e6 }],
            },
            finding: PlanFinding.NoOffer,
        },
        {
            name: "every machine class exceeds the cost ceiling",
            offers: OFFERS,
            changes: {
                targets: [{ className: "c", latencyTargetMs: 1_200, tokenGapTargetMs: 28, costCeilingMicros: 1 }],
            },
            finding: PlanFinding.NoOffer,
        },
        {
            name: "only the spare capacity exceeds the cost ceiling",
            offers: OFFERS,
            changes: {
                targets: [{ className: "c", latencyTargetMs: 1_200, tokenGapTargetMs: 28, costCeilingMicros: 3 }],
            },
            finding: PlanFinding.SpareOverCeiling,
        },
    ];
    for (const { name, offers, changes, finding } of FINDING_CASES) {
        it(`reports a finding if ${name}`, () => {
            const plan = planOne({ offers, capacities: [CAPACITY] }, 400, changes);
            assert.deepEqual(plan.findings, [finding]);
        });
    }
});
