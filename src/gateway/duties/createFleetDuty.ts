/**
 * @module The duty to order endpoints for the services that the gateway scales.
 */
import type { Clock } from "../../base/clock";
import { FailureKind } from "../../base/failure";
import type { Log } from "../../base/log/log";
import { computeRequiredEndpoints, type DomainFleet, planGatewayFleet } from "../../decisions/gateway/planGatewayFleet";
import type { FleetBounds, GatewayService } from "../../model/gateway";
import type { DutyPort, FleetSize } from "../../ports/duties";
import type { ConfigurationHolder } from "../tables/createConfigurationHolder";
import type { EndpointDirectory } from "../endpoints/createEndpointDirectory";
import type { FleetNews } from "../news/createFleetNews";
import type { Rollouts } from "../rollouts/rollouts";
import type { ServiceSpeeds } from "../forwarding/createServiceSpeeds";
import type { CheckHolder, Duty } from "./startDutyHolder";

const PLAN_PERIOD_MS = 500;
/** After a refusal, no more endpoints of the same kind are ordered in the same failure domain for this long. */
const REFUSAL_BACKOFF_MS = 2_500;
/** A refusal of reclaimable endpoints counts as a sign of a wave of reclaims until this long after its backoff. */
const RECENT_REFUSAL_MS = 2_000;
/** At the first start of the whole system the endpoints need this time to register; planning starts only after it. */
const STARTUP_REGISTRATION_MS = 5_000;
/** The need decreases by at most this share per second, so that a short lull in load does not shrink the fleet. */
const NEED_DECAY_PER_S = 0.06;
const MS_PER_S = 1_000;

interface OrderState {
    /** Number of endpoints that the last order added to those present. */
    added: number;
    orderedAtMs: number;
    /** Monotonic time until which an order counts as refused. */
    refusedUntilMs: number;
}

/** The need of a service, in endpoints, as it was at `atMs`. */
interface NeedState {
    need: number;
    atMs: number;
}

/** Dependencies and settings of the duty. */
export interface FleetDutyOptions {
    readonly cloud: DutyPort;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly news: FleetNews;
    /** Endpoints with a version that is on trial or was rolled back are no capacity. */
    readonly rollouts: Pick<Rollouts, "isServing" | "isMoving">;
    readonly speeds: ServiceSpeeds;
    readonly failureDomains: readonly string[];
    /** True if the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    readonly clock: Clock;
    readonly log: Log;
}

/**
 * Creates the duty.
 *
 * @param options - Its dependencies and settings
 * @returns The duty
 * @example
 * createFleetDuty({ cloud, configuration, directory, news, speeds, failureDomains, isFirstStart, clock, log });
 */
export function createFleetDuty(options: FleetDutyOptions): Duty {
    const { cloud, configuration, directory, rollouts, news, speeds, clock, log } = options;
    const orders = new Map<string, OrderState>();
    const needs = new Map<string, NeedState>();
    const loggedNeeds = new Map<string, number>();
    let nextPlanMs = options.isFirstStart ? clock.readMonotonicMs() + STARTUP_REGISTRATION_MS : 0;

    const readOrder = (service: string, failureDomain: string, isReclaimable: boolean): OrderState => {
        const key = `${service}|${failureDomain}|${isReclaimable}`;
        const state = orders.get(key) ?? { added: 0, orderedAtMs: Number.NEGATIVE_INFINITY, refusedUntilMs: 0 };
        orders.set(key, state);
        return state;
    };
    const listEndpoints = (service: string, failureDomain: string, isReclaimable: boolean) =>
        directory
            .listAll(service)
            .filter(({ endpoint }) => rollouts.isServing(endpoint))
            .filter(
                ({ endpoint }) => endpoint.failureDomain === failureDomain && endpoint.isReclaimable === isReclaimable,
            );
    const countPresent = (service: string, failureDomain: string, isReclaimable: boolean): number =>
        listEndpoints(service, failureDomain, isReclaimable).filter(record => !record.endpoint.isDraining).length;
    /** Counts the endpoints that serve, plus those that were ordered and may still start. */
    const countExpected = (
        service: string,
        failureDomain: string,
        isReclaimable: boolean,
        bounds: FleetBounds,
    ): number => {
        const order = readOrder(service, failureDomain, isReclaimable);
        const endpoints = listEndpoints(service, failureDomain, isReclaimable);
        const present = endpoints.filter(record => !record.endpoint.isDraining).length;
        const isOverdue = clock.readMonotonicMs() - order.orderedAtMs > (bounds.bootSeconds + 2) * MS_PER_S;
        // A reclaim of a failure domain also takes the endpoints that are starting there.
        const isReclaimed = isReclaimable && present < endpoints.length && present === 0;
        const arrived = endpoints.filter(record => record.discoveredAtMs > order.orderedAtMs).length;
        return present + (isOverdue || isReclaimed ? 0 : Math.max(0, order.added - arrived));
    };
    const describeFleet = (service: string, bounds: FleetBounds): readonly DomainFleet[] =>
        options.failureDomains.map(failureDomain => ({
            failureDomain,
            onDemand: countExpected(service, failureDomain, false, bounds),
            reclaimable: countExpected(service, failureDomain, true, bounds),
            reclaimableServing: countPresent(service, failureDomain, true),
            isReclaimableRefused: readOrder(service, failureDomain, true).refusedUntilMs > clock.readMonotonicMs(),
            wasReclaimableRefused:
                readOrder(service, failureDomain, true).refusedUntilMs > clock.readMonotonicMs() - RECENT_REFUSAL_MS,
            isOnDemandRefused: readOrder(service, failureDomain, false).refusedUntilMs > clock.readMonotonicMs(),
        }));
    /** Counts the usable endpoints, without the reserve for the loss of a failure domain. */
    const countWithoutReserve = (service: string): number => {
        const present = directory.listUsable(service).filter(({ endpoint }) => rollouts.isServing(endpoint));
        const reclaimable = present.filter(record => record.endpoint.isReclaimable).length;
        const domains = Math.max(2, options.failureDomains.length);
        return present.length - reclaimable / domains;
    };
    const updateNeed = (service: GatewayService): number => {
        const nowMs = clock.readMonotonicMs();
        const measured = computeRequiredEndpoints({
            ...news.readLoad(service.name),
            tokensPerMs: speeds.readSpeed(service.name).tokensPerMs,
            slots: service.engine?.slots ?? 1,
        });
        // Until the load has been measured, the present fleet is assumed to match it.
        const previous = needs.get(service.name) ?? { need: countWithoutReserve(service.name), atMs: nowMs };
        const decayed = previous.need * (1 - NEED_DECAY_PER_S) ** ((nowMs - previous.atMs) / MS_PER_S);
        const need = Math.max(measured, decayed, 1);
        needs.set(service.name, { need, atMs: nowMs });
        return need;
    };
    const logNeed = (service: string, need: number) => {
        const rounded = Math.round(need * 2) / 2;
        if (loggedNeeds.get(service) !== rounded) {
            loggedNeeds.set(service, rounded);
            const { tokensPerMs } = speeds.readSpeed(service);
            log.info("endpoints needed", { service, need: rounded, tokensPerMs: Math.round(tokensPerMs) });
        }
    };
    const sendOrder = async (order: FleetSize, check: CheckHolder) => {
        const holder = check();
        if (holder === undefined) {
            return;
        }
        const state = readOrder(order.service, order.failureDomain, order.isReclaimable);
        const sent = await cloud.setFleetSize(holder, order);
        const nowMs = clock.readMonotonicMs();
        if (sent.isOk()) {
            state.added = Math.max(
                0,
                order.count - countPresent(order.service, order.failureDomain, order.isReclaimable),
            );
            state.orderedAtMs = nowMs;
        } else if (sent.error.kind === FailureKind.NoEndpoint) {
            state.refusedUntilMs = nowMs + REFUSAL_BACKOFF_MS;
        }
        log.info("endpoints ordered", {
            service: order.service,
            failureDomain: order.failureDomain,
            isReclaimable: order.isReclaimable,
            count: order.count,
            epoch: holder.epoch,
            failure: sent.isErr() ? sent.error.message : undefined,
        });
    };
    const planService = async (service: GatewayService, bounds: FleetBounds, check: CheckHolder) => {
        const need = updateNeed(service);
        const fleet = describeFleet(service.name, bounds);
        logNeed(service.name, need);
        for (const plan of planGatewayFleet(need, fleet, bounds)) {
            const domainFleet = fleet.find(domain => domain.failureDomain === plan.failureDomain);
            const location = { service: service.name, failureDomain: plan.failureDomain };
            const domainOrders: readonly FleetSize[] = [
                { ...location, count: plan.reclaimable, isReclaimable: true },
                { ...location, count: plan.onDemand, isReclaimable: false },
            ];
            for (const order of domainOrders) {
                const expected = (order.isReclaimable ? domainFleet?.reclaimable : domainFleet?.onDemand) ?? 0;
                const isRefused = order.isReclaimable
                    ? domainFleet?.isReclaimableRefused
                    : domainFleet?.isOnDemandRefused;
                if (order.count !== expected && !(isRefused === true && order.count > expected)) {
                    await sendOrder(order, check);
                }
            }
        }
    };
    return {
        beginTerm: () => {
            orders.clear();
        },
        runStep: async check => {
            const nowMs = clock.readMonotonicMs();
            const view = configuration.readCurrent();
            if (nowMs < nextPlanMs || view === undefined || !directory.isLoaded()) {
                return;
            }
            nextPlanMs = nowMs + PLAN_PERIOD_MS;
            for (const service of view.configuration.services) {
                // The platform counts both versions against an order, and may stop endpoints of the old one for it.
                if (service.fleet !== undefined && !rollouts.isMoving(service.name)) {
                    await planService(service, service.fleet, check);
                }
            }
        },
    };
}
