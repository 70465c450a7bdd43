/**
 * @module A spillover control for tests: a node in `home` (region `west`), with endpoints there, in `next` of the same region and
 * in `away` of another region. All of them report a pace.
 */
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import type { GatewaySettings } from "../../model/gateway";
import { createEndpointRecord, type EndpointRecord, recordLoad, recordOthers } from "../endpoints/endpointRecord";
import { createServiceSpeeds } from "../forwarding/createServiceSpeeds";
import { createSpillover, type SpilloverOptions } from "../forwarding/createSpillover";
import { makeEndpoint } from "./makeEndpoint";

export const OBJECTIVE_MS = 300;
const SLOTS = 16;
const NODES_PER_DOMAIN = 6;
const SERVICE = "chat";
const REGIONS = { home: "west", next: "west", away: "east" };
const DISTANCES = {
    home: { roundTripMs: 0, penaltyMs: 0 },
    next: { roundTripMs: 2, penaltyMs: 5 },
    away: { roundTripMs: 60, penaltyMs: 20 },
};
type Domain = keyof typeof REGIONS;

/** What a test changes. */
export interface SpilloverSubjectOptions {
    readonly hasSpillover?: boolean;
    /** Endpoints in `home` and `next`, one without it. */
    readonly endpointsInHome?: number;
    readonly endpointsInNext?: number;
    /** Endpoints that stay idle whatever load is set. */
    readonly isIdle?: (record: EndpointRecord) => boolean;
    readonly readLoad?: SpilloverOptions["news"]["readLoad"];
    readonly isLimited?: (record: EndpointRecord) => boolean;
    readonly isCold?: (record: EndpointRecord) => boolean;
    readonly isServing?: SpilloverOptions["rollouts"]["isServing"];
    readonly evacuated?: readonly string[];
}

/** Creates the subject. */
export function createSpilloverSubject(options: SpilloverSubjectOptions = {}) {
    const clock = createManualClock();
    const domains: readonly Domain[] = ["home", "next", "away"];
    const records = domains.flatMap(failureDomain =>
        Array.from({ length: countEndpoints(options, failureDomain) }, (_unused, index) => {
            const endpoint = makeEndpoint(`${failureDomain}-${index}`, { failureDomain, slots: SLOTS });
            const record = createEndpointRecord(endpoint, DISTANCES[failureDomain], clock);
            recordLoad(record, { running: 0, waiting: 0, slots: SLOTS, pace: 100 }, 0);
            return record;
        }),
    );
    const failures: unknown[] = [];
    const shares: number[] = [];
    const lines: string[] = [];
    const subject = { isInTouch: true };
    const spillover = createSpillover({
        settings: {
            failureDomain: "home",
            regions: REGIONS,
            hasSpillover: options.hasSpillover ?? true,
        } as unknown as GatewaySettings,
        clock,
        random: createRandom(1),
        log: { info: (line: string) => void lines.push(line) } as unknown as SpilloverOptions["log"],
        speeds: createServiceSpeeds(),
        directory: { listUsable: () => records },
        evacuations: { readDomains: () => new Set(options.evacuated) },
        limits: { isLimited: options.isLimited ?? (() => false) },
        rollouts: { isServing: options.isServing ?? (() => true) },
        coldEndpoints: { isCold: options.isCold ?? (() => false) },
        news: {
            isInTouch: () => subject.isInTouch,
            readLoad: options.readLoad ?? (() => ({ tokensPerSecond: 0, inFlight: 0 })),
            readUsage: () => ({ nodes: 3 * NODES_PER_DOMAIN, reachable: 3 * NODES_PER_DOMAIN }) as never,
        },
        metrics: { countAttemptDistance: () => undefined, setSpilloverShare: (_service, share) => shares.push(share) },
        reportFailure: (_owner, error) => void failures.push(error),
    });
    const listIn = (domain: Domain) => records.filter(({ endpoint }) => endpoint.failureDomain === domain);
    /** Lists the failure domains that a request may go to. */
    const listDomains = (objectiveMs = OBJECTIVE_MS, takers: readonly EndpointRecord[] = records) => [
        ...new Set(spillover.filterDomains(SERVICE, objectiveMs, takers).map(({ endpoint }) => endpoint.failureDomain)),
    ];
    /** Sets what this node and all others together do at the endpoints of a failure domain, as a share of their slots. */
    const setLoad = (domain: Domain, usedShare: number) => {
        for (const record of listIn(domain).filter(candidate => options.isIdle?.(candidate) !== true)) {
            record.ownInFlight = Math.round((usedShare * SLOTS) / NODES_PER_DOMAIN);
            const inFlight = usedShare * SLOTS - record.ownInFlight;
            recordOthers(record, { inFlight, pendingTokens: 0 }, clock.readMonotonicMs());
        }
    };
    return {
        clock,
        records,
        failures,
        shares,
        lines,
        subject,
        listIn,
        listDomains,
        setLoad,
        /**
         * Sends requests one by one for a time while the load stays as given, and gives the share of them that went to each
         * failure domain in its last third.
         */
        sendFor: (
            ms: number,
            {
                everyMs = 10,
                loads = {},
                objectiveMs = OBJECTIVE_MS,
                takers = records,
            }: {
                readonly everyMs?: number;
                readonly loads?: Partial<Record<Domain, number>>;
                readonly objectiveMs?: number;
                readonly takers?: readonly EndpointRecord[];
            },
        ): Record<Domain, number> => {
            const counts = { home: 0, next: 0, away: 0 };
            let sent = 0;
            for (let passedMs = everyMs; passedMs <= ms; passedMs += everyMs) {
                clock.advanceMs(everyMs);
                domains.forEach(domain => {
                    setLoad(domain, loads[domain] ?? 0);
                });
                const listed = listDomains(objectiveMs, takers);
                if (passedMs > (ms * 2) / 3) {
                    sent++;
                    const first = listed[0] as Domain | undefined;
                    counts[first ?? "home"] += 1;
                }
            }
            return { home: counts.home / sent, next: counts.next / sent, away: counts.away / sent };
        },
    };
}

function countEndpoints({ endpointsInHome, endpointsInNext }: SpilloverSubjectOptions, domain: Domain): number {
    return { home: endpointsInHome, next: endpointsInNext, away: undefined }[domain] ?? 1;
}
