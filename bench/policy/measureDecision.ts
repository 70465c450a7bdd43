/**
 * @module The time of a routing decision.
 */
import { createRandom } from "../../src/base/createRandom";
import { chooseCandidate } from "../../src/decisions/routing/chooseCandidate";
import { createCandidate } from "../../src/decisions/routing/createCandidate";
import { createPrefixIndex } from "../../src/decisions/routing/createPrefixIndex";
import { recordPrefixes } from "../../src/decisions/routing/recordPrefixes";
import { recordAttemptSent } from "../../src/decisions/routing/recordAttemptSent";
import { VmRole } from "../../src/model/endpoint";
import { createWorkload } from "./workload";

const CANDIDATES = 640;
const WARM_UP_DECISIONS = 5_000;
const DECISIONS = 20_000;
const DISTINCT_REQUESTS = 10_000;

/** Microseconds a decision over 640 candidates takes. */
export interface DecisionFigures {
    readonly meanMicroseconds: number;
    readonly p99Microseconds: number;
}

/**
 * Measures decisions over 640 candidates: the choice itself, counting the attempt and noting its prefixes.
 *
 * @param seed - Seed of requests and draws
 * @returns Mean and 99th percentile
 * @example
 * measureDecision(1).meanMicroseconds;
 */
export function measureDecision(seed: number): DecisionFigures {
    const random = createRandom(seed);
    const index = createPrefixIndex();
    const candidates = Array.from({ length: CANDIDATES }, (_, number) => {
        const region = `region-${number % 5}`;
        const place = { region, failureDomain: `${region}-${number % 3}`, address: "127.0.0.1", port: 0 };
        const kind = { role: VmRole.ModelRunner as const, machineClass: "gpu", isReclaimable: true };
        const endpoint = { endpointId: `runner-${number}`, ...place, ...kind, serviceName: "assistant", version: "v1" };
        const node = { region: "region-0", failureDomain: "region-0-0" };
        const candidate = createCandidate(endpoint, 1, node);
        candidate.othersInFlight = random.drawInteger(0, 40);
        candidate.costMicros = random.drawInteger(50, 200);
        return candidate;
    });
    const drawRequest = createWorkload(seed, 20);
    const scratch = { candidates: [], scores: [] };
    const times = new Float64Array(DECISIONS);
    const requests = Array.from({ length: DISTINCT_REQUESTS }, drawRequest);
    for (let decision = -WARM_UP_DECISIONS; decision < DECISIONS; decision++) {
        const request = requests[(decision + WARM_UP_DECISIONS) % DISTINCT_REQUESTS]!;
        const query = { ...request, version: "v1", route: "chat", excludedEndpointIds: [] };
        const limits = { remainingMs: request.targetMs, costCeilingMicros: 1_000 };
        const fractions = [random.drawFraction(), random.drawFraction()] as const;
        const startedMs = performance.now();
        const choice = chooseCandidate(candidates, { ...query, ...limits }, index, fractions, scratch);
        if (choice !== undefined) {
            recordAttemptSent(choice.candidate, choice.uncachedTokens);
            recordPrefixes(index, choice.candidate, request.prefixHashes);
        }
        if (decision >= 0) {
            times[decision] = 1_000 * (performance.now() - startedMs);
        }
        candidates.forEach(candidate => (candidate.ownPrefillTokens *= 0.9));
    }
    times.sort();
    const mean = times.reduce((sum, time) => sum + time, 0) / DECISIONS;
    return { meanMicroseconds: mean, p99Microseconds: times[Math.floor(0.99 * DECISIONS)] ?? 0 };
}
