/**
 * @module Measures the fleet: cost and capacity through waves against two baselines, and the time to plan.
 */
import { createRandom } from "../../src/base/createRandom";
import { createDemand, createFleetExample } from "../../src/decisions/fleet/_testing/createFleetExample";
import { buildGroupId } from "../../src/decisions/fleet/buildGroupId";
import { decideFleetSteps } from "../../src/decisions/fleet/decideFleetSteps";
import type { DeclaredGroup } from "../../src/decisions/fleet/fleetPlan";
import { EMPTY_FLEET_STATE } from "../../src/decisions/fleet/fleetState";
import { planFleet } from "../../src/decisions/fleet/planFleet";
import { type VmRecord, VmState } from "../../src/model/endpoint";
import { FleetPolicy, type FleetRunResult, simulateFleet } from "./simulateFleet";

// Targets of docs/design/the-fleet.md.
const HIGHEST_COST_RATIO = 0.75;
const LOWEST_COVERED_SHARE = 0.995;
const LOWEST_COVERED_IN_WAVES = 0.98;
const LONGEST_PLAN_MS = 1_000;

const SEEDS = [1, 2, 3, 4, 5];
const HOURS = 12;
const SIZES = [
    { name: "3 domains, small", domains: 3, peakUnits: 6_000 },
    { name: "5 domains, middling", domains: 5, peakUnits: 30_000 },
];
const RUNNERS = 3_200;
const SERVICES = ["assistant", "digest", "tagger", "ledger", "postings"];
const PLAN_REPEATS = 5;

interface Row {
    readonly size: string;
    readonly policy: FleetPolicy;
    readonly cost: number;
    readonly covered: number;
    readonly coveredInWaves: number;
    readonly starts: number;
    readonly refused: number;
}

function measurePolicy(size: (typeof SIZES)[number], policy: FleetPolicy): Row {
    const results = SEEDS.map(seed => simulateFleet({ ...size, policy, hours: HOURS, seed }));
    const mean = (pick: (result: FleetRunResult) => number) =>
        results.reduce((sum, result) => sum + pick(result), 0) / results.length;
    return {
        size: size.name,
        policy,
        cost: mean(result => result.cost),
        covered: mean(result => result.coveredShare),
        coveredInWaves: mean(result => result.coveredShareInWaves),
        starts: mean(result => result.starts),
        refused: mean(result => result.refused),
    };
}

/** Plans a fleet of about `RUNNERS` runners anew, and again with its VMs present and prices changed. */
function measurePlanning(domains: number): {
    readonly runners: number;
    readonly firstMs: number;
    readonly againMs: number;
    readonly stepsMs: number;
} {
    const example = createFleetExample(createRandom(domains), { domains, machineClasses: 3, services: SERVICES });
    const units = Math.max(...example.capacities.map(capacity => capacity.unitsPerSecond));
    const perService = (RUNNERS / SERVICES.length) * units * (1 - 1 / domains);
    const facts = { ...example, held: [], refusedOfferIds: new Set<string>() };
    const trial = planFleet(
        SERVICES.map(name => createDemand(name, perService)),
        facts,
    );
    const trialCount = trial.services.flatMap(service => service.groups).reduce((sum, group) => sum + group.count, 0);
    const demands = SERVICES.map(name => createDemand(name, (perService * RUNNERS) / trialCount));
    const first = measureTime(() => planFleet(demands, facts));
    const groups = first.value.services.flatMap(service => service.groups);
    const offers = example.offers.map((offer, index) => ({
        ...offer,
        microsPerHour: offer.microsPerHour + (index % 7) * 40_000,
    }));
    const vms = groups.flatMap(buildVms);
    const state = { ...EMPTY_FLEET_STATE, groups };
    const limits = { weightLoads: 40, drainMs: 60_000 };
    const present = vms.filter((_unused, index) => index % 10 !== 0);
    const steps = measureTime(() => decideFleetSteps(state, { vms: present, nowWallMs: 0, limits }));
    const again = measureTime(() => planFleet(demands, { ...facts, offers, held: groups }));
    return {
        runners: groups.reduce((sum, group) => sum + group.count, 0),
        firstMs: first.ms,
        againMs: again.ms,
        stepsMs: steps.ms,
    };
}

function buildVms(group: DeclaredGroup): readonly VmRecord[] {
    const { serviceName, version, region, failureDomain, machineClass, isReclaimable, role } = group;
    const place = { serviceName, version, region, failureDomain, machineClass, isReclaimable, role };
    return Array.from({ length: group.count }, (_unused, index) => ({
        ...place,
        vmId: `${buildGroupId(group)}/${index}`,
        address: "127.0.0.1",
        port: 1,
        state: VmState.Live,
        incarnation: 1,
    }));
}

function measureTime<T>(run: () => T): { readonly value: T; readonly ms: number } {
    const times: number[] = [];
    let value = run();
    for (let repeat = 0; repeat < PLAN_REPEATS; repeat++) {
        const startMs = performance.now();
        value = run();
        times.push(performance.now() - startMs);
    }
    return { value, ms: times.sort((left, right) => left - right)[Math.floor(PLAN_REPEATS / 2)] ?? 0 };
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

function main(): void {
    const missed: string[] = [];
    const check = (holds: boolean, text: string) => (holds ? undefined : missed.push(text));
    print(`${SEEDS.length} seeds, ${HOURS} h each, a wave of a whole domain each 1.5 h`);
    print("| size | policy | cost, ratio to on-demand | inside capacity | inside, in waves | starts | refused |");
    print("|---|---|---|---|---|---|---|");
    for (const size of SIZES) {
        const rows = Object.values(FleetPolicy).map(policy => measurePolicy(size, policy));
        const baseline = rows.find(row => row.policy === FleetPolicy.OnDemand)?.cost ?? 1;
        for (const row of rows) {
            const ratio = row.cost / baseline;
            const shares = `${(row.covered * 100).toFixed(2)}% | ${(row.coveredInWaves * 100).toFixed(2)}%`;
            print(
                `| ${row.size} | ${row.policy} | ${ratio.toFixed(3)} | ${shares} | ${row.starts.toFixed(0)} | ${row.refused.toFixed(0)} |`,
            );
            if (row.policy === FleetPolicy.Planned) {
                check(ratio <= HIGHEST_COST_RATIO, `${row.size}: cost ratio ${ratio.toFixed(3)}`);
                check(row.covered >= LOWEST_COVERED_SHARE, `${row.size}: inside capacity ${row.covered}`);
                check(row.coveredInWaves >= LOWEST_COVERED_IN_WAVES, `${row.size}: in waves ${row.coveredInWaves}`);
            }
        }
    }
    print("| domains | runners planned | first plan ms | plan again ms | steps, a tenth missing, ms |");
    print("|---|---|---|---|---|");
    for (const domains of [3, 15]) {
        const { runners, firstMs, againMs, stepsMs } = measurePlanning(domains);
        print(`| ${domains} | ${runners} | ${firstMs.toFixed(1)} | ${againMs.toFixed(1)} | ${stepsMs.toFixed(1)} |`);
        check(Math.max(firstMs, againMs) <= LONGEST_PLAN_MS, `${domains} domains: planning ${firstMs}, ${againMs} ms`);
    }
    missed.forEach(text => print(`MISSED ${text}`));
    process.exitCode = missed.length === 0 ? 0 : 1;
}

main();
