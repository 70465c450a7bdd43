/**
 * @module The requests that this node may run at the endpoints of a service, by what it knows of them.
 */
import {
    computeNodeSeats,
    type EndpointOccupancy,
    type TimedCount,
} from "../../decisions/gateway/admission/computeNodeSeats";
import { createArrivalCount } from "../../decisions/gateway/admission/createArrivalCount";
import { createNodeShare } from "../../decisions/gateway/admission/createNodeShare";
import type { NodeSeats } from "../../decisions/gateway/admission/serviceQueue";
import type { ResponseHead } from "../../ports/forwardingCodec";
import type { GatewayExchange } from "../callers/exchange";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import type { GatewayComponents } from "../gatewayComponents";
import { listTakers, type TakerSources } from "./listTakers";

/** Time for which the list of endpoints is kept: under load it would otherwise be made for each request. */
const LIST_MS = 10;
/** After a refusal by an endpoint, all endpoints count as nearly full for so long. */
const REFUSAL_MS = 1_000;
/** A load with more requests for each slot counts as not named. */
const REQUESTS_PER_SLOT_MAX = 100;

/** What the seats depend on. */
export interface ServiceSeatsOptions extends TakerSources, Pick<GatewayComponents, "clock"> {
    readonly news: Pick<GatewayComponents["news"], "isInTouch" | "readLoad" | "readUsage">;
}

/** The seats of one service. */
export interface ServiceSeats {
    /** Records a request for the service. */
    recordArrival(): void;
    /** Gives the recent arrivals in ten seconds, for the state reports; `undefined` if no endpoint reports a pace. */
    readArrivals(): number | undefined;
    /**
     * Computes the seats, of which this node's requests hold so many. `undefined` if no endpoint takes requests, or none of
     * these reports a pace.
     */
    readSeats(held: number): NodeSeats | undefined;
    /** Tells whether a request may go to some of the endpoints only, and these aren't nearly full. */
    hasOwnRoom(exchange: GatewayExchange): boolean;
    /** Records what the head of an endpoint's answer says of its load. */
    recordAnswer(answer: ResponseHead): void;
}

/** The endpoints as they were at a time. */
interface EndpointList {
    readonly atMs: number;
    readonly takers: readonly EndpointRecord[];
    readonly occupancies: readonly EndpointOccupancy[];
    /** Requests of this node at endpoints that take no more. */
    readonly elsewhere: number;
}

/**
 * Creates the seats of a service.
 *
 * @param options - The endpoints, and the news of the other nodes
 * @param service - Name of the service
 * @returns The seats
 * @example
 * const seats = createServiceSeats(components, "assistant").readSeats(4);
 */
export function createServiceSeats(options: ServiceSeatsOptions, service: string): ServiceSeats {
    const { clock, directory, news } = options;
    const share = createNodeShare();
    const arrivals = createArrivalCount();
    let list: EndpointList | undefined;
    let refusedAtMs = Number.NEGATIVE_INFINITY;
    /** True if an endpoint may report a pace. Otherwise nothing is computed, so that other services cost nothing. */
    let mayHavePace = false;

    /**
     * Estimates the requests of other nodes at endpoints whose activity isn't reported to this node, which are those of
     * other regions: what all nodes do for the service and not at the other endpoints, spread by slots.
     */
    const createFarEstimate = (
        takers: readonly EndpointRecord[],
    ): ((record: EndpointRecord) => TimedCount | undefined) => {
        const far = takers.filter(({ others }) => others === undefined);
        if (far.length === 0 || !news.isInTouch()) {
            return () => undefined;
        }
        const known = directory
            .listAll(service)
            .reduce((sum, { ownInFlight, others }) => sum + ownInFlight + (others?.inFlight ?? 0), 0);
        const unknown = Math.max(0, news.readLoad(service).inFlight - known);
        const slots = far.reduce((sum, record) => sum + readSlots(record), 0);
        // Waiting requests are among those of all nodes, so an endpoint never counts as more than full by this.
        return record => ({ count: Math.min(readSlots(record), (unknown * readSlots(record)) / slots), ageMs: 0 });
    };
    const readOccupancy = (
        record: EndpointRecord,
        nowMs: number,
        estimateFar: (record: EndpointRecord) => TimedCount | undefined,
    ): EndpointOccupancy => {
        const load = readNamedLoad(record);
        return {
            slots: readSlots(record),
            reported:
                record.others === undefined
                    ? estimateFar(record)
                    : { count: record.others.inFlight, ageMs: nowMs - record.others.atMs },
            named:
                load === undefined
                    ? undefined
                    : { count: load.running + load.waiting - load.ownInFlight, ageMs: nowMs - load.atMs },
        };
    };
    const readList = (nowMs: number): EndpointList => {
        if (list !== undefined && nowMs - list.atMs < LIST_MS) {
            return list;
        }
        const takers = listTakers(options, service, { model: undefined, homeRegions: undefined }, nowMs);
        const isTaker = new Set(takers);
        const estimateFar = createFarEstimate(takers);
        list = {
            atMs: nowMs,
            takers,
            occupancies: takers.map(record => readOccupancy(record, nowMs, estimateFar)),
            elsewhere: directory
                .listAll(service)
                .reduce((sum, record) => sum + (isTaker.has(record) ? 0 : record.ownInFlight), 0),
        };
        return list;
    };
    const isRefused = (nowMs: number) => nowMs - refusedAtMs < REFUSAL_MS;

    return {
        recordArrival: () => arrivals.recordArrival(clock.readMonotonicMs()),
        readArrivals: () => (mayHavePace ? Math.round(arrivals.readArrivals(clock.readMonotonicMs())) : undefined),
        readSeats: held => {
            if (!mayHavePace) {
                return undefined;
            }
            const nowMs = clock.readMonotonicMs();
            const { takers, occupancies, elsewhere } = readList(nowMs);
            mayHavePace = takers.length === 0 || takers.some(({ pace }) => pace !== undefined);
            if (!mayHavePace || !occupancies.some(({ slots }) => slots > 0)) {
                return undefined;
            }
            const { nodes, arrivals: ofFleet } = news.readUsage();
            const demand = { own: arrivals.readArrivals(nowMs), fleet: ofFleet?.[service], nodes };
            return computeNodeSeats(occupancies, {
                running: Math.max(0, held - elsewhere),
                share: share.observeDemand(demand, nowMs),
                isRefused: isRefused(nowMs),
            });
        },
        hasOwnRoom: ({ head, homeRegions }) => {
            if (head.model === undefined && homeRegions === undefined) {
                return false;
            }
            const nowMs = clock.readMonotonicMs();
            const { takers, occupancies } = readList(nowMs);
            const own = new Set(listTakers(options, service, { model: head.model, homeRegions }, nowMs));
            const indexes = [...takers.keys()].filter(index => own.has(takers[index] as EndpointRecord));
            if (indexes.length === takers.length) {
                return false;
            }
            const running = [...own].reduce((sum, { ownInFlight }) => sum + ownInFlight, 0);
            const ofOwn = indexes.map(index => occupancies[index] as EndpointOccupancy);
            // Without an endpoint the forwarder refuses it, and says why.
            return own.size === 0 || !computeNodeSeats(ofOwn, { running, share: 1, isRefused: false }).isNearFull;
        },
        recordAnswer: answer => {
            if (!mayHavePace && answer.load?.pace !== undefined) {
                mayHavePace = true;
                list = undefined;
            }
            if (answer.isNotExecuted && !answer.isMisdirected && !answer.isLeaving) {
                refusedAtMs = clock.readMonotonicMs();
                list = undefined;
            }
        },
    };
}

/** Gives the load that an endpoint has named, unless it makes no sense. */
function readNamedLoad({ load }: EndpointRecord): EndpointRecord["load"] {
    return load !== undefined && load.running + load.waiting <= load.slots * REQUESTS_PER_SLOT_MAX && load.slots > 0
        ? load
        : undefined;
}

function readSlots(record: EndpointRecord): number {
    return readNamedLoad(record)?.slots ?? record.endpoint.slots;
}
