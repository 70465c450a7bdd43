/**
 * @module Controls the fleet while this node holds the fleet lease: plans it, stores the state and executes steps.
 */
import { ok, type Result } from "neverthrow";
import { type Failure, FailureKind } from "../../../base/failure";
import { hashText } from "../../../base/hashText";
import { decideFleetSteps } from "../../../decisions/fleet/decideFleetSteps";
import type { DemandHistory } from "../../../decisions/fleet/demandHistory";
import type { FleetOffer, ServicePlan } from "../../../decisions/fleet/fleetPlan";
import { EMPTY_FLEET_STATE, type FleetState } from "../../../decisions/fleet/fleetState";
import { listExistingGroups } from "../../../decisions/fleet/listExistingGroups";
import { planFleet } from "../../../decisions/fleet/planFleet";
import { listRefusedOffers, recordReclaimWaves } from "../../../decisions/fleet/recordRefusal";
import type { RowWrite, TablePort } from "../../../ports/table";
import type { LeaseClient, LeaseHandle } from "../../leases/leaseClient";
import {
    FLEET_LEASE_NAME,
    FLEET_LEASE_DURATION_MS,
    LEASE_CANDIDATE_COUNT,
    PLAN_INTERVAL_MS,
    TAKEOVER_DELAY_MS,
} from "../constants";
import type { FleetPlanView } from "../fleetClient";
import type { FleetCapacity } from "../parseFleetCapacity";
import { applyFleetSteps, type FleetStepOptions } from "./applyFleetSteps";
import { buildDemands, computeSurvivingCapacity, listCapacities, listManagedServices } from "./buildDemands";
import { createDemandRecorder, type DemandRecorder } from "./createDemandRecorder";
import { DEMAND_PREFIX, decodeFleetRow, encodeFleetRow, PLAN_KEY, STATE_KEY } from "./fleetRows";
import { waitForCall } from "./waitForCall";

/** Dependencies of the fleet controller. */
export interface FleetControllerOptions extends FleetStepOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly leases: LeaseClient;
    readonly listLiveNodeIds: () => readonly string[];
    readonly capacity: FleetCapacity;
    /** Returns the units a second that arrive for a service at all nodes together; `undefined` while unknown. */
    readonly readDemand: (serviceName: string) => number | undefined;
    readonly listOffers: () => Promise<Result<readonly FleetOffer[], Failure>>;
    readonly createToken: () => string;
}

/** Controls the fleet while this node holds the fleet lease. */
export interface FleetController {
    /** Plans the fleet if due and executes the next steps; does nothing while another node holds the lease. */
    runTick(): Promise<void>;
    /** Releases the lease, if this node holds it. */
    release(): Promise<void>;
    dumpState(): unknown;
}

/** The state of the controller during one tenure of the lease. */
interface LeaseTerm {
    readonly lease: LeaseHandle;
    readonly recorder: DemandRecorder;
    state: FleetState;
    /** Version of the stored state row. Writes are conditional on it, which detects a write by another holder. */
    rowVersion: number | undefined;
    offers: readonly FleetOffer[];
    plan: FleetPlanView | undefined;
    plannedAtWallMs: number;
    /** Sorted ids of the refused offers at the last planning, to detect a change. */
    refusedOffersKey: string;
}

/**
 * Creates a fleet controller.
 *
 * @param options - Table, cloud, leases, capacity and demand
 * @returns The controller
 * @example
 * await controller.runTick();
 */
export function createFleetController(options: FleetControllerOptions): FleetController {
    const { clock, table } = options;
    const capacities = listCapacities(options.capacity);
    const counters = { ticks: 0, commits: 0, failedCommits: 0, steps: 0 };
    let term: LeaseTerm | undefined;

    const reportFailure = (failure: Failure): undefined => {
        options.reportFailure("fleet", failure);
        return undefined;
    };
    /** Loads the stored state. A recorder of this node's own term is reused, so that no recorded demand is lost. */
    const loadTerm = async (lease: LeaseHandle, existingRecorder?: DemandRecorder): Promise<LeaseTerm | undefined> => {
        const rows = await waitForCall(clock, table.listRows("fleet/"));
        if (rows.isErr()) {
            return reportFailure(rows.error);
        }
        const recorder = existingRecorder ?? createDemandRecorder();
        const loaded: LeaseTerm = {
            lease,
            recorder,
            state: EMPTY_FLEET_STATE,
            rowVersion: undefined,
            offers: [],
            plan: undefined,
            plannedAtWallMs: 0,
            refusedOffersKey: "",
        };
        for (const row of rows.value) {
            const value = decodeFleetRow<unknown>(row);
            if (value.isErr()) {
                return reportFailure(value.error);
            }
            if (row.key === STATE_KEY) {
                loaded.state = value.value as FleetState;
                loaded.rowVersion = row.version;
            } else if (row.key === PLAN_KEY) {
                loaded.plan = value.value as FleetPlanView;
            } else if (row.key.startsWith(DEMAND_PREFIX) && existingRecorder === undefined) {
                recorder.loadHistory(row.key.slice(DEMAND_PREFIX.length), value.value as DemandHistory);
            }
        }
        return loaded;
    };
    const ensureTerm = async (): Promise<LeaseTerm | undefined> => {
        if (term !== undefined && term.lease.checkHeld().isOk()) {
            return term;
        }
        const lease = term === undefined ? undefined : term.lease;
        term = undefined;
        await lease?.release();
        if (!isLeaseCandidate(options)) {
            return undefined;
        }
        const acquired = await options.leases.acquireLease(FLEET_LEASE_NAME, { durationMs: FLEET_LEASE_DURATION_MS });
        if (acquired.isErr()) {
            return undefined;
        }
        term = await loadTerm(acquired.value);
        if (term === undefined) {
            await acquired.value.release();
        }
        return term;
    };
    const recordDemand = (current: LeaseTerm, nowWallMs: number) => {
        const { recorder } = current;
        for (const name of listManagedServices(options.readConfiguration(), options.capacity)) {
            if (!recorder.hasRecentDemand(name)) {
                const storedPeak = current.plan?.recentPeaks[name];
                const survivingCapacity = computeSurvivingCapacity(capacities, options.listVms(), name);
                recorder.record(name, storedPeak ?? survivingCapacity, nowWallMs, false);
            }
            // While the demand is unknown, the recent peak stands in for it, so that missing data stops no VM.
            const units = options.readDemand(name);
            const isMeasured = units !== undefined && Number.isFinite(units);
            recorder.record(name, isMeasured ? units : recorder.findRecentPeak(name, nowWallMs), nowWallMs, isMeasured);
        }
    };
    const planIfDue = async (current: LeaseTerm, nowWallMs: number) => {
        const refusedOfferIds = listRefusedOffers(current.state, nowWallMs);
        const refusedOffersKey = [...refusedOfferIds].sort().join(" ");
        const isDue =
            nowWallMs - current.plannedAtWallMs >= PLAN_INTERVAL_MS || refusedOffersKey !== current.refusedOffersKey;
        if (!isDue) {
            return;
        }
        const offers = await options.listOffers();
        if (offers.isOk()) {
            current.offers = offers.value;
        } else {
            reportFailure(offers.error);
        }
        if (current.offers.length === 0) {
            return;
        }
        const demands = buildDemands(options.readConfiguration(), options.capacity, current.recorder, nowWallMs);
        const held = listExistingGroups(current.state, options.listVms());
        const facts = { offers: current.offers, capacities, held, refusedOfferIds };
        const services: ServicePlan[] = [];
        for (const demand of demands) {
            services.push(...planFleet([demand], facts).services);
            await waitForEventLoopTurn();
        }
        const recentPeaks = demands.map(
            ({ serviceName }) => [serviceName, current.recorder.findRecentPeak(serviceName, nowWallMs)] as const,
        );
        const refusedOffers = [...refusedOfferIds].map(offerId => ({
            offerId,
            untilWallMs: current.state.refusals[offerId]?.untilWallMs ?? nowWallMs,
        }));
        current.plan = {
            services,
            microsPerHour: services.reduce((sum, service) => sum + service.microsPerHour, 0),
            plannedAtWallMs: nowWallMs,
            nodeId: options.nodeId,
            refused: refusedOffers,
            recentPeaks: Object.fromEntries(recentPeaks),
        };
        current.plannedAtWallMs = nowWallMs;
        current.refusedOffersKey = refusedOffersKey;
        current.state = { ...current.state, groups: services.flatMap(service => service.groups) };
    };
    /**
     * Stores the state, the plan and changed histories if anything changed; returns false on failure. The caller then
     * must not execute steps, and the term is loaded again from the table.
     */
    const storeState = async (current: LeaseTerm, before: FleetState): Promise<boolean> => {
        const histories = current.recorder.listUnsavedHistories();
        if (JSON.stringify(before) === JSON.stringify(current.state) && histories.length === 0) {
            return true;
        }
        const writes: readonly RowWrite[] = [
            { key: STATE_KEY, value: encodeFleetRow(current.state) },
            ...(current.plan === undefined ? [] : [{ key: PLAN_KEY, value: encodeFleetRow(current.plan) }]),
            ...histories.map(([name, history]) => ({ key: DEMAND_PREFIX + name, value: encodeFleetRow(history) })),
        ];
        const conditions = [current.lease.buildFenceCondition(), { key: STATE_KEY, version: current.rowVersion }];
        const commit = table.commitTransaction({ token: options.createToken(), conditions, writes });
        const committed = await waitForCall(clock, commit);
        if (committed.isErr()) {
            counters.failedCommits++;
            if (committed.error.kind !== FailureKind.StoreConflict) {
                reportFailure(committed.error);
            }
            term = await loadTerm(current.lease, current.recorder);
            if (term === undefined) {
                await current.lease.release();
            }
            return false;
        }
        counters.commits++;
        current.rowVersion = committed.value[0];
        histories.forEach(([name]) => current.recorder.markSaved(name));
        return true;
    };
    return {
        runTick: async () => {
            counters.ticks++;
            const current = await ensureTerm();
            if (current === undefined) {
                return;
            }
            const nowWallMs = clock.readWallMs();
            recordDemand(current, nowWallMs);
            if (clock.readMonotonicMs() - current.lease.acquiredAtMs < TAKEOVER_DELAY_MS) {
                return;
            }
            const before = current.state;
            current.state = recordReclaimWaves(current.state, options.listVms(), nowWallMs);
            await planIfDue(current, nowWallMs);
            const { limits, vms } = { limits: options.capacity, vms: options.listVms() };
            const decision = decideFleetSteps(current.state, { vms, nowWallMs, limits });
            current.state = decision.state;
            if (!(await storeState(current, before))) {
                return;
            }
            counters.steps += decision.steps.length;
            current.state = await applyFleetSteps(decision.steps, decision.state, current.lease, options);
            await storeState(current, decision.state);
        },
        release: async () => {
            const held = term;
            term = undefined;
            await held?.lease.release();
        },
        dumpState: () => ({
            ...counters,
            isHolder: term !== undefined,
            starts: term?.state.starts.length,
            loads: term?.state.loads.length,
            stops: term?.state.stops.length,
            refusals: term?.state.refusals,
            plannedAtWallMs: term?.plannedAtWallMs,
        }),
    };
}

/** Yields to the event loop between services, because planning a large fleet at once would delay streams. */
function waitForEventLoopTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

/** Ranks the live nodes by hash and returns true if this node is among the first `LEASE_CANDIDATE_COUNT`. */
function isLeaseCandidate(options: FleetControllerOptions): boolean {
    const ranked = [...options.listLiveNodeIds()].sort(
        (left, right) => hashText(`${FLEET_LEASE_NAME}|${right}`) - hashText(`${FLEET_LEASE_NAME}|${left}`),
    );
    return ranked.slice(0, LEASE_CANDIDATE_COUNT).includes(options.nodeId);
}

/** Reads the newest plan that a lease holder stored; `undefined` before the first one. */
export async function readStoredPlan(
    options: Pick<FleetControllerOptions, "clock" | "table">,
): Promise<Result<FleetPlanView | undefined, Failure>> {
    const row = await waitForCall(options.clock, options.table.readRow(PLAN_KEY));
    return row.andThen(found => (found === undefined ? ok(undefined) : decodeFleetRow<FleetPlanView>(found)));
}
