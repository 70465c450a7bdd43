/**
 * @module Counts and log lines about what admission decides for a service.
 */
import type { GatewayComponents } from "../gatewayComponents";
import { AdmissionDecision } from "./serviceAdmission";

/** At most one line is written for a service in this time; it counts what happened since the one before. */
const LINE_INTERVAL_MS = 1_000;

/** The present state of a service's queue. */
export interface QueueState {
    readonly waiting: number;
    readonly waitingBytes: number;
    /** Requests of this node that hold a seat. */
    readonly held: number;
}

/**
 * Creates the report of a service.
 *
 * @param components - Where the counts and lines go
 * @param service - Name of the service
 * @param readState - Gives the state for a line and for the metrics
 * @returns A function that is called with each decision
 * @example
 * const reportDecision = createAdmissionReport(components, "assistant", readState);
 * reportDecision(AdmissionDecision.Waited);
 */
export function createAdmissionReport(
    { clock, log, metrics }: Pick<GatewayComponents, "clock" | "log" | "metrics">,
    service: string,
    readState: () => QueueState,
): (decision: AdmissionDecision) => void {
    const counts = new Map<AdmissionDecision, number>();
    let isScheduled = false;
    const resetSchedule = () => {
        isScheduled = false;
    };
    const writeLine = () => {
        resetSchedule();
        log.warn("requests wait for endpoints", { service, ...readState(), ...Object.fromEntries(counts) });
        counts.clear();
    };
    return decision => {
        counts.set(decision, (counts.get(decision) ?? 0) + 1);
        metrics.countAdmission(service, decision);
        metrics.setAdmissionQueue(service, readState());
        // Requests that start at once need no line of their own.
        if (!isScheduled && decision !== AdmissionDecision.Started) {
            isScheduled = true;
            clock.waitMs(LINE_INTERVAL_MS).then(writeLine, resetSchedule);
        }
    };
}
