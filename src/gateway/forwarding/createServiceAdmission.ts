/**
 * @module Admission of requests to the endpoints of each service: what runs, what waits and what is refused while they are
 * nearly full. It is on where endpoints report a pace; other services get a seat for each request at once.
 */
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { createServiceQueue } from "../../decisions/gateway/admission/createServiceQueue";
import type {
    AdmissionRefusal,
    RefusedEntry,
    ServiceQueue,
    WaitingEntry,
} from "../../decisions/gateway/admission/serviceQueue";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { resolveHomeRegions } from "../../decisions/gateway/resolveHomeRegions";
import { RouteKind } from "../../model/gateway";
import { createHeadAdmission } from "../callers/createHeadAdmission";
import type { GatewayExchange } from "../callers/exchange";
import type { GatewayComponents } from "../gatewayComponents";
import { FailureOwner } from "../process/createFailureReporter";
import { buildAdmissionRequest, computeStatedCost } from "./buildAdmissionRequest";
import { createAdmissionReport } from "./createAdmissionReport";
import { createServiceSeats, type ServiceSeats, type ServiceSeatsOptions } from "./createServiceSeats";
import { NO_ENDPOINT_FAILURE, SHUTTING_DOWN_FAILURE } from "./forwardingOutcome";
import { AdmissionDecision, type RoomDecision, type Seat, type ServiceAdmission } from "./serviceAdmission";

/** Bounds of the waiting requests of one service. */
const WAITING_MAX = 256;
const WAITING_MEMORY_SHARE = 0.05;
/** Time between two looks at the queues while requests wait. */
const SWEEP_PERIOD_MS = 10;
/** Weight of a request in the mean of the stated costs. */
const COST_WEIGHT = 0.02;

const CALLER_GONE_FAILURE = createFailure(FailureKind.CallerGone, "The caller left while the request waited.");

/** What admission needs of the gateway. */
export interface ServiceAdmissionOptions
    extends
        ServiceSeatsOptions,
        Pick<GatewayComponents, "configuration" | "random" | "metrics" | "log" | "reportFailure"> {}

/** A waiting request. */
interface Waiter {
    readonly exchange: GatewayExchange;
    /** Ends the wait; only the first call has an effect. */
    readonly settle: (decision: RoomDecision) => void;
}

interface ServiceState {
    readonly service: string;
    readonly seats: ServiceSeats;
    readonly waiters: Map<WaitingEntry, Waiter>;
    /** Counts a decision; never throws. */
    readonly reportDecision: (decision: AdmissionDecision) => void;
    queue: ServiceQueue;
    /** Requests with a seat. */
    held: number;
    /** Mean of the stated costs. */
    usualCost: number | undefined;
}

/**
 * Creates the admission, without requests.
 *
 * @param options - The components of the gateway that it needs
 * @returns The admission
 * @example
 * const room = await admission.waitForRoom(exchange, ended);
 */
export function createServiceAdmission(options: ServiceAdmissionOptions): ServiceAdmission {
    const { settings, clock, random, metrics, reportFailure } = options;
    const states = new Map<string, ServiceState>();
    const admitHead = createHeadAdmission(options);
    let isStopping = false;
    let timer: NodeJS.Timeout | undefined;

    const createQueue = () =>
        createServiceQueue({ waitingMax: WAITING_MAX, bytesMax: WAITING_MEMORY_SHARE * settings.memoryBytesMax });
    const readQueueState = ({ queue, held }: ServiceState) => ({
        waiting: queue.countWaiting(),
        waitingBytes: queue.countBytes(),
        held,
    });
    const ensureState = (service: string): ServiceState => {
        const known = states.get(service);
        if (known !== undefined) {
            return known;
        }
        const report = createAdmissionReport(options, service, () => readQueueState(state));
        const state: ServiceState = {
            service,
            seats: createServiceSeats(options, service),
            waiters: new Map(),
            reportDecision: decision => {
                try {
                    report(decision);
                } catch (error) {
                    reportFailure(FailureOwner.Admission, error, { service });
                }
            },
            queue: createQueue(),
            held: 0,
            usualCost: undefined,
        };
        states.set(service, state);
        return state;
    };
    const readSeats = ({ seats, held }: ServiceState) => seats.readSeats(held);

    /** Runs a step. After an error all waiting requests go on as without admission, and the queue begins anew. */
    const tryStep = (state: ServiceState, step: () => void) => {
        try {
            step();
        } catch (error) {
            reportFailure(FailureOwner.Admission, error, { service: state.service });
            state.queue = createQueue();
            startAll(state);
        }
    };
    const openSeat = (state: ServiceState, { route }: GatewayExchange): Seat => {
        const startedAtMs = clock.readMonotonicMs();
        let isFirst = true;
        state.held++;
        const recordResponse = () => {
            state.queue.recordFirstPart(route.name, clock.readMonotonicMs() - startedAtMs);
        };
        return {
            recordFirstPart: () => {
                // The objective of a stream is for its first part, that of other responses for the whole.
                if (route.kind === RouteKind.Streaming && isFirst) {
                    isFirst = false;
                    tryStep(state, recordResponse);
                }
            },
            recordAnswer: answer => tryStep(state, () => state.seats.recordAnswer(answer)),
            finish: ({ wasSent, isRelayed }) => {
                state.held--;
                tryStep(state, () => {
                    if (wasSent) {
                        state.queue.recordEnd(clock.readMonotonicMs() - startedAtMs);
                    }
                    if (isRelayed && route.kind !== RouteKind.Streaming) {
                        recordResponse();
                    }
                    startWaiting(state);
                });
            },
        };
    };
    /** Starts all waiting requests; for when the queue can't or needn't order them. */
    const startAll = (state: ServiceState) => {
        const started = [...state.waiters];
        for (const [entry, waiter] of started) {
            state.queue.removeEntry(entry);
            waiter.settle({ seat: openSeat(state, waiter.exchange) });
        }
        started.forEach(() => state.reportDecision(AdmissionDecision.StartedLater));
    };
    const startWaiter = (state: ServiceState, entry: WaitingEntry) => {
        const waiter = state.waiters.get(entry);
        if (waiter === undefined) {
            return;
        }
        waiter.settle({ seat: openSeat(state, waiter.exchange) });
        state.reportDecision(AdmissionDecision.StartedLater);
        metrics.recordAdmissionWait(state.service, clock.readMonotonicMs() - entry.queuedAtMs);
    };
    const startWaiting = (state: ServiceState) => {
        while (state.waiters.size > 0) {
            const seats = readSeats(state);
            if (seats === undefined) {
                startAll(state);
                return;
            }
            const entry = state.queue.takeNext(seats, clock.readMonotonicMs());
            if (entry === undefined) {
                return;
            }
            startWaiter(state, entry);
        }
    };
    const refuseWaiting = (state: ServiceState, refused: RefusedEntry) => {
        state.waiters.get(refused.entry)?.settle({ failure: createRefusal(refused) });
        state.reportDecision(refused.reason);
    };
    const sweepService = (state: ServiceState) => {
        startWaiting(state);
        const seats = state.waiters.size > 0 ? readSeats(state) : undefined;
        if (seats !== undefined) {
            state.queue.dropLate(seats, clock.readMonotonicMs()).forEach(refused => refuseWaiting(state, refused));
        }
    };
    const sweep = () => {
        const busy = [...states.values()].filter(({ waiters }) => waiters.size > 0);
        busy.forEach(state => tryStep(state, () => sweepService(state)));
        if (busy.length === 0) {
            clearInterval(timer);
            timer = undefined;
        }
    };
    const wait = (state: ServiceState, entry: WaitingEntry, exchange: GatewayExchange, ended: AbortSignal) =>
        new Promise<RoomDecision>(resolve => {
            const handleEnd = () => {
                const hasLeft = ended.reason === AttemptOutcome.CallerGone;
                settle({ failure: hasLeft ? CALLER_GONE_FAILURE : NO_ENDPOINT_FAILURE });
                tryStep(state, () => {
                    state.queue.removeEntry(entry);
                    state.reportDecision(hasLeft ? AdmissionDecision.Left : AdmissionDecision.TimedOut);
                });
            };
            const settle = (decision: RoomDecision) => {
                ended.removeEventListener("abort", handleEnd);
                state.waiters.delete(entry);
                resolve(decision);
            };
            state.waiters.set(entry, { exchange, settle });
            ended.addEventListener("abort", handleEnd);
            if (ended.aborted) {
                handleEnd();
            }
            timer ??= setInterval(sweep, SWEEP_PERIOD_MS).unref();
        });
    /** Checks a request after its wait: its key may have been revoked, or the home regions may have changed. */
    const admitAgain = (state: ServiceState, exchange: GatewayExchange, decision: RoomDecision): RoomDecision => {
        if ("failure" in decision) {
            return decision;
        }
        let isAdmitted = false;
        try {
            const failure = findRefusal(exchange);
            isAdmitted = failure === undefined;
            return failure === undefined ? decision : { failure };
        } finally {
            if (!isAdmitted) {
                decision.seat.finish({ wasSent: false, isRelayed: false });
                state.reportDecision(AdmissionDecision.Revoked);
            }
        }
    };
    const findRefusal = ({ request, head, homeRegions }: GatewayExchange): Failure | undefined => {
        const admitted = admitHead(request, head);
        if ("kind" in admitted) {
            return admitted;
        }
        const regions = resolveHomeRegions(admitted.route.homeRegions, admitted.account?.homeRegions);
        return regions?.join("\n") === homeRegions?.join("\n") ? undefined : NO_ENDPOINT_FAILURE;
    };
    const readCost = (state: ServiceState, exchange: GatewayExchange): number => {
        const stated = computeStatedCost(exchange);
        if (stated !== undefined) {
            state.usualCost = (state.usualCost ?? stated) + COST_WEIGHT * (stated - (state.usualCost ?? stated));
        }
        return state.usualCost ?? 1;
    };
    const decide = (
        state: ServiceState,
        exchange: GatewayExchange,
        ended: AbortSignal,
    ): RoomDecision | Promise<RoomDecision> => {
        const usualCost = readCost(state, exchange);
        state.seats.recordArrival();
        const seats = readSeats(state);
        const isContended = seats !== undefined && (seats.isNearFull || state.waiters.size > 0);
        if (seats === undefined || (isContended && state.seats.hasOwnRoom(exchange))) {
            return { seat: openSeat(state, exchange) };
        }
        const request = buildAdmissionRequest(exchange, usualCost, random.drawFraction());
        const decision = state.queue.decideArrival(request, seats, clock.readMonotonicMs());
        if (decision.kind === "start") {
            if (isContended) {
                state.reportDecision(AdmissionDecision.Started);
            }
            return { seat: openSeat(state, exchange) };
        }
        if (decision.kind === "refuse") {
            state.reportDecision(decision.refusal.reason);
            return { failure: createRefusal(decision.refusal) };
        }
        if (decision.displaced !== undefined) {
            refuseWaiting(state, decision.displaced);
        }
        if (isStopping) {
            state.queue.removeEntry(decision.entry);
            state.reportDecision(AdmissionDecision.Stopped);
            return { failure: SHUTTING_DOWN_FAILURE };
        }
        state.reportDecision(AdmissionDecision.Waited);
        return wait(state, decision.entry, exchange, ended);
    };
    return {
        name: "admission",
        dumpState: () =>
            [...states.values()].map(state => ({
                service: state.service,
                ...readQueueState(state),
                ...readSeats(state),
            })),
        waitForRoom: async (exchange, ended) => {
            const state = ensureState(exchange.service);
            let decision: RoomDecision | Promise<RoomDecision>;
            try {
                decision = decide(state, exchange, ended);
            } catch (error) {
                reportFailure(FailureOwner.Admission, error, {
                    service: state.service,
                    requestId: exchange.head.requestId,
                });
                state.queue = createQueue();
                startAll(state);
                return { seat: openSeat(state, exchange) };
            }
            return decision instanceof Promise ? admitAgain(state, exchange, await decision) : decision;
        },
        readArrivals: () =>
            Object.fromEntries(
                [...states].flatMap(([service, { seats }]) => {
                    const arrivals = seats.readArrivals() ?? 0;
                    return arrivals > 0 ? [[service, arrivals]] : [];
                }),
            ),
        beginStop: () => {
            isStopping = true;
            for (const state of states.values()) {
                for (const [entry, { settle }] of [...state.waiters]) {
                    settle({ failure: SHUTTING_DOWN_FAILURE });
                    tryStep(state, () => {
                        state.queue.removeEntry(entry);
                        state.reportDecision(AdmissionDecision.Stopped);
                    });
                }
            }
        },
    };
}

function createRefusal({ reason, retryAfterMs }: AdmissionRefusal): Failure {
    return createFailure(FailureKind.NoEndpoint, `No endpoint has room for the request in time: ${reason}.`, {
        retryAfterMs,
    });
}
