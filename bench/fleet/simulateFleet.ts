/**
 * @module A fleet over hours of changing demand, prices, refused starts and waves that take a whole domain.
 */
import { createRandom } from "../../src/base/createRandom";
import {
    createFleetExample,
    createDemand,
    type FleetExample,
} from "../../src/decisions/fleet/_testing/createFleetExample";
import { createSimulatedCloud, type SimulatedCloud } from "../../src/decisions/fleet/_testing/createSimulatedCloud";
import { buildOfferId } from "../../src/decisions/fleet/buildGroupId";
import { DEMAND_HEADROOM } from "../../src/decisions/fleet/constants";
import { decideFleetSteps } from "../../src/decisions/fleet/decideFleetSteps";
import type { FleetOffer } from "../../src/decisions/fleet/fleetPlan";
import { EMPTY_FLEET_STATE, type FleetState } from "../../src/decisions/fleet/fleetState";
import { listExistingGroups } from "../../src/decisions/fleet/listExistingGroups";
import { planFleet } from "../../src/decisions/fleet/planFleet";
import { listRefusedOffers, recordReclaimWaves } from "../../src/decisions/fleet/recordRefusal";
import { VmState } from "../../src/model/endpoint";

/** What chooses the VMs. */
export enum FleetPolicy {
    /** The planner. */
    Planned = "planned",
    /** The planner, with on-demand VMs only. */
    OnDemand = "on-demand",
    /** The cheapest reclaimable VMs for the demand, with the same headroom and no spare for the loss of a domain. */
    NoSpare = "reclaimable, no spare",
}

/** One run. */
export interface FleetRunOptions {
    readonly policy: FleetPolicy;
    readonly domains: number;
    readonly peakUnits: number;
    readonly hours: number;
    readonly seed: number;
}

/** What came of it. */
export interface FleetRunResult {
    /** Millionths of the currency. */
    readonly cost: number;
    /** Share of time in which live VMs carried the demand. */
    readonly coveredShare: number;
    /** The same within ten minutes from the notice of each wave. */
    readonly coveredShareInWaves: number;
    readonly starts: number;
    readonly refused: number;
    readonly waves: number;
}

const SERVICE = "assistant";
const TICK_MS = 5_000;
const PLAN_TICKS = 6;
const HOUR_MS = 3_600_000;
const NOTICE_MS = 30_000;
const WAVE_SPAN_MS = 600_000;
const WARM_UP_MS = 1_200_000;
const LIMITS = { weightLoads: 40, drainMs: 60_000 };

/** Runs a fleet. */
export function simulateFleet(options: FleetRunOptions): FleetRunResult {
    const random = createRandom(options.seed);
    const example = createFleetExample(random, { domains: options.domains, machineClasses: 3, services: [SERVICE] });
    const refusals = drawRefusals(example, options);
    const cloud = createSimulatedCloud({
        random,
        listLagMs: 5_000,
        startMs: 90_000,
        lostAnswerRate: 0.02,
        isRefused: (offerId, nowMs) => refusals.has(`${offerId}@${Math.floor(nowMs / (HOUR_MS / 4))}`),
    });
    const waves = drawWaves(options);
    const priceAt = createPrices(example, options.seed);
    const sums = { cost: 0, ticks: 0, covered: 0, waveTicks: 0, waveCovered: 0 };
    let state: FleetState = EMPTY_FLEET_STATE;
    for (let nowMs = 0; nowMs < options.hours * HOUR_MS; nowMs += TICK_MS) {
        const wave = waves.find(each => each.atMs === nowMs);
        if (wave !== undefined) {
            cloud.reclaim(vm => vm.failureDomain === wave.domain && vm.isReclaimable, nowMs, NOTICE_MS);
        }
        const offers = priceAt(nowMs);
        const demand = readDemandAt(options.peakUnits, nowMs);
        state = recordReclaimWaves(state, cloud.listLagging(nowMs), nowMs);
        if ((nowMs / TICK_MS) % PLAN_TICKS === 0) {
            state = { ...state, groups: plan(options.policy, { ...example, offers }, state, cloud, demand, nowMs) };
        }
        const decision = decideFleetSteps(state, { vms: cloud.listLagging(nowMs), nowWallMs: nowMs, limits: LIMITS });
        state = decision.steps.reduce((next, step) => cloud.applyStep(next, step, nowMs), decision.state);
        addTick(sums, cloud, { ...example, offers }, demand, nowMs, waves);
    }
    return {
        cost: sums.cost,
        coveredShare: sums.covered / sums.ticks,
        coveredShareInWaves: sums.waveTicks === 0 ? 1 : sums.waveCovered / sums.waveTicks,
        starts: cloud.counters.starts,
        refused: cloud.counters.refused,
        waves: waves.length,
    };
}

function plan(
    policy: FleetPolicy,
    example: FleetExample,
    state: FleetState,
    cloud: SimulatedCloud,
    demand: number,
    nowMs: number,
) {
    const held = listExistingGroups(state, cloud.listLagging(nowMs));
    const refusedOfferIds = listRefusedOffers(state, nowMs);
    const wanted = demand * (1 + DEMAND_HEADROOM);
    if (policy === FleetPolicy.NoSpare) {
        return planWithoutSpare(example, wanted, refusedOfferIds);
    }
    const offers = example.offers.filter(offer => policy === FleetPolicy.Planned || !offer.isReclaimable);
    const facts = { ...example, offers, held, refusedOfferIds };
    return planFleet([createDemand(SERVICE, wanted)], facts).services.flatMap(service => service.groups);
}

/** Fills the demand from the cheapest reclaimable offer that takes starts. */
function planWithoutSpare(example: FleetExample, wanted: number, refusedOfferIds: ReadonlySet<string>) {
    const rank = (offer: FleetOffer) => offer.microsPerHour / findUnits(example, offer.machineClass);
    const offer = example.offers
        .filter(each => each.isReclaimable && !refusedOfferIds.has(buildOfferId(each)))
        .sort((left, right) => rank(left) - rank(right))[0];
    if (offer === undefined) {
        return [];
    }
    const unitsPerVm = findUnits(example, offer.machineClass);
    const { serviceName, version, role } = createDemand(SERVICE, wanted);
    const count = Math.ceil(wanted / unitsPerVm);
    return [{ ...offer, serviceName, version, role, count, unitsPerVm, reason: "cheapest" }];
}

function addTick(
    sums: { cost: number; ticks: number; covered: number; waveTicks: number; waveCovered: number },
    cloud: SimulatedCloud,
    example: FleetExample,
    demand: number,
    nowMs: number,
    waves: readonly Wave[],
): void {
    const prices = new Map(example.offers.map(offer => [buildOfferId(offer), offer.microsPerHour]));
    const vms = cloud.listNow(nowMs);
    const price = vms.reduce((sum, vm) => sum + (prices.get(buildOfferId(vm)) ?? 0), 0);
    sums.cost += (price * TICK_MS) / HOUR_MS;
    if (nowMs < WARM_UP_MS) {
        return;
    }
    const live = vms.filter(vm => vm.state === VmState.Live);
    const carried = live.reduce((sum, vm) => sum + findUnits(example, vm.machineClass), 0);
    const isCovered = carried >= demand ? 1 : 0;
    const isInWave = waves.some(wave => nowMs >= wave.atMs && nowMs < wave.atMs + WAVE_SPAN_MS);
    sums.ticks++;
    sums.covered += isCovered;
    sums.waveTicks += isInWave ? 1 : 0;
    sums.waveCovered += isInWave ? isCovered : 0;
}

interface Wave {
    readonly atMs: number;
    readonly domain: string;
}

/** A wave each hour and a half, each in a domain of its own choosing. */
function drawWaves(options: FleetRunOptions): readonly Wave[] {
    const random = createRandom(options.seed + 1);
    const count = Math.floor(options.hours / 1.5);
    return Array.from({ length: count }, (_unused, index) => ({
        atMs: Math.floor(((index + 0.6 + random.drawFraction() * 0.3) * 1.5 * HOUR_MS) / TICK_MS) * TICK_MS,
        domain: `domain-${random.drawInteger(0, options.domains - 1)}`,
    }));
}

/** In each quarter of an hour a fifth of the reclaimable offers and a thirtieth of the others refuse starts. */
function drawRefusals(example: FleetExample, options: FleetRunOptions): ReadonlySet<string> {
    const random = createRandom(options.seed + 2);
    const quarters = Array.from({ length: options.hours * 4 }, (_unused, index) => index);
    return new Set(
        quarters.flatMap(quarter =>
            example.offers
                .filter(offer => random.drawFraction() < (offer.isReclaimable ? 1 / 5 : 1 / 30))
                .map(offer => `${buildOfferId(offer)}@${quarter}`),
        ),
    );
}

/** Reclaimable prices move by up to a fifth each hour. */
function createPrices(example: FleetExample, seed: number): (nowMs: number) => readonly FleetOffer[] {
    let hour = -1;
    let offers = example.offers;
    return nowMs => {
        if (Math.floor(nowMs / HOUR_MS) !== hour) {
            hour = Math.floor(nowMs / HOUR_MS);
            const random = createRandom(seed + 1_000 + hour);
            offers = example.offers.map(offer => {
                const factor = offer.isReclaimable ? 0.8 + 0.4 * random.drawFraction() : 1;
                return { ...offer, microsPerHour: Math.round(offer.microsPerHour * factor) };
            });
        }
        return offers;
    };
}

/** Demand between 60% and 100% of its peak, over six hours. */
function readDemandAt(peakUnits: number, nowMs: number): number {
    return peakUnits * (0.8 + 0.2 * Math.sin((nowMs / (6 * HOUR_MS)) * 2 * Math.PI));
}

function findUnits(example: FleetExample, machineClass: string): number {
    return example.capacities.find(capacity => capacity.machineClass === machineClass)?.unitsPerSecond ?? 1;
}
