/**
 * @module The failure domains that the operator evacuates: no new attempt goes to their endpoints.
 */
import type { DumpSource } from "../../base/dump";
import type { Log } from "../../base/log/log";
import type { EvacuationChange } from "../../model/gateway";
import type { GatewayMetrics } from "../process/createGatewayMetrics";

/** The evacuated failure domains. */
export interface Evacuations extends DumpSource {
    /** Takes changes, or with the whole table all orders that exist. */
    applyChanges(changes: readonly EvacuationChange[], isWholeTable: boolean): void;
    /** Gives the failure domains that are evacuated now. */
    readDomains(): ReadonlySet<string>;
}

/** What the evacuations depend on. */
export interface EvacuationsOptions {
    /** Called with a failure domain whose evacuation was cancelled. */
    readonly handleCancelled: (failureDomain: string) => void;
    readonly metrics: Pick<GatewayMetrics, "setEvacuated">;
    readonly log: Log;
}

/**
 * Creates the evacuations; no failure domain is evacuated.
 *
 * @param options - Dependencies
 * @returns The evacuations
 * @example
 * evacuations.applyChanges([{ failureDomain: "east-1", isEvacuated: true }], false);
 */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
    const { metrics, log } = options;
    const domains = new Set<string>();

    const applyChange = ({ failureDomain, isEvacuated }: EvacuationChange) => {
        if (isEvacuated === domains.has(failureDomain)) {
            return;
        }
        metrics.setEvacuated(failureDomain, isEvacuated);
        log.info(isEvacuated ? "evacuation begins" : "evacuation cancelled", { failureDomain });
        if (isEvacuated) {
            domains.add(failureDomain);
        } else {
            // First: its endpoints must not get requests before they count as cold.
            options.handleCancelled(failureDomain);
            domains.delete(failureDomain);
        }
    };
    return {
        name: "evacuations",
        applyChanges: (changes, isWholeTable) => {
            changes.forEach(applyChange);
            if (isWholeTable) {
                const ordered = new Set(changes.map(({ failureDomain }) => failureDomain));
                [...domains]
                    .filter(failureDomain => !ordered.has(failureDomain))
                    .forEach(failureDomain => applyChange({ failureDomain, isEvacuated: false }));
            }
        },
        readDomains: () => domains,
        dumpState: () => [...domains],
    };
}
