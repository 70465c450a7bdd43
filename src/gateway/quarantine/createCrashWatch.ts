/**
 * @module Recognizes crashes of endpoints among the ends of attempts.
 */
import net from "node:net";
import type { HttpTarget } from "../../adapters/_lib/httpTarget";
import type { Clock } from "../../base/clock";
import { hashText } from "../../base/hashText";
import { CONNECT_TIMEOUT_MS } from "../constants";
import type { EndpointDirectory } from "../endpoints/createEndpointDirectory";
import type { EndpointRecord } from "../endpoints/endpointRecord";

/** The recognition of crashes. */
export interface CrashWatch<Attempt> {
    /** Takes an attempt whose connection broke; gives whether the endpoint has crashed, once it is known. */
    recordBreak(record: EndpointRecord, attempt: Attempt): Promise<boolean>;
}

/** What the watch depends on. */
export interface CrashWatchOptions<Attempt = unknown> {
    readonly clock: Clock;
    readonly directory: Pick<EndpointDirectory, "findEndpoint">;
    /** Called for each attempt whose connection a crash broke. The key of the crash is the same at all nodes. */
    readonly handleCrash: (key: string, attempt: Attempt, atMs: number) => void;
    /** Tells whether an address refuses connections; default: by connecting. */
    readonly isRefusing?: (target: HttpTarget) => Promise<boolean>;
}

/** Breaks this long after a crash belong to it. */
const CRASH_PERIOD_MS = 1_000;
/** Pauses before the checks: connections may be reset before the address refuses new ones. */
const CHECK_PAUSES_MS = [0, 60, 180];

interface Suspicion<Attempt> {
    readonly beganAtMs: number;
    readonly attempts: Attempt[];
    readonly whenKnown: Promise<boolean>;
    isSettled: boolean;
    isCrash: boolean;
}

/**
 * Creates the watch. A broken connection alone is no crash; the address must refuse a new one right after, or have a
 * new instance, while the endpoint is listed and does not drain.
 *
 * @param options - Dependencies, and the handler of crashes
 * @returns The watch
 * @example
 * const hasCrashed = await crashes.recordBreak(record, { request, isSuspect: true });
 */
export function createCrashWatch<Attempt>(options: CrashWatchOptions<Attempt>): CrashWatch<Attempt> {
    const { clock, directory, handleCrash, isRefusing = isRefusingConnections } = options;
    const suspicions = new WeakMap<EndpointRecord, Suspicion<Attempt>>();
    const isPlanned = ({ endpoint, missingSinceMs }: EndpointRecord) =>
        endpoint.isDraining || missingSinceMs !== undefined || directory.findEndpoint(endpoint.id) === undefined;
    const checkCrash = async (record: EndpointRecord): Promise<boolean> => {
        for (const pauseMs of CHECK_PAUSES_MS) {
            await clock.waitMs(pauseMs);
            const current = directory.findEndpoint(record.endpoint.id);
            if (isPlanned(record) || current?.endpoint.isDraining === true) {
                return false;
            }
            if (current !== record || (await isRefusing(record.endpoint.target))) {
                return true;
            }
        }
        return false;
    };
    const reportAttempt = (record: EndpointRecord, { beganAtMs }: Suspicion<Attempt>, attempt: Attempt) => {
        handleCrash(buildCrashKey(record), attempt, beganAtMs);
    };
    const beginSuspicion = (record: EndpointRecord): Suspicion<Attempt> => {
        const suspicion: Suspicion<Attempt> = {
            beganAtMs: clock.readMonotonicMs(),
            attempts: [],
            isSettled: false,
            isCrash: false,
            whenKnown: checkCrash(record).then(isCrash => {
                suspicion.isSettled = true;
                suspicion.isCrash = isCrash;
                const attempts = suspicion.attempts.splice(0);
                if (isCrash) {
                    attempts.forEach(attempt => reportAttempt(record, suspicion, attempt));
                }
                return isCrash;
            }),
        };
        suspicions.set(record, suspicion);
        return suspicion;
    };
    return {
        recordBreak: (record, attempt) => {
            if (isPlanned(record)) {
                return Promise.resolve(false);
            }
            const known = suspicions.get(record);
            const isRecent = known !== undefined && clock.readMonotonicMs() - known.beganAtMs < CRASH_PERIOD_MS;
            const isCurrent = known?.isSettled === false || (isRecent && known.isCrash);
            const suspicion = isCurrent && known !== undefined ? known : beginSuspicion(record);
            if (suspicion.isCrash) {
                reportAttempt(record, suspicion, attempt);
            } else {
                suspicion.attempts.push(attempt);
            }
            return suspicion.whenKnown;
        },
    };
}

function buildCrashKey({ endpoint }: EndpointRecord): string {
    return hashText(`${endpoint.id}|${endpoint.startedAtMs ?? ""}`).toString(36);
}

/** Tells whether an address refuses a connection; one that succeeds or gets no answer tells nothing. */
function isRefusingConnections({ address, port }: HttpTarget): Promise<boolean> {
    return new Promise(resolve => {
        const socket = net.connect({ host: address, port, timeout: CONNECT_TIMEOUT_MS });
        const settle = (isRefused: boolean) => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.once("connect", () => settle(false));
        socket.once("timeout", () => settle(false));
        socket.once("error", (error: NodeJS.ErrnoException) => settle(error.code === "ECONNREFUSED"));
    });
}
