/**
 * @module The latency objectives of the requests that arrived lately.
 */

/** The objectives of recent requests. */
export interface RecentObjectives {
    recordRequest(objectiveMs: number, nowMs: number): void;
    /** Gives the strictest one, infinite without recent requests; changes nothing. */
    readStrictest(nowMs: number): number;
}

/** Time after which an objective is forgotten if no request has it any more. */
export const OBJECTIVE_RETENTION_MS = 10_000;

/**
 * Creates the memory, empty at first. It holds one time for each objective, of which the routes of a service have few.
 *
 * @returns The memory
 * @example
 * objectives.recordRequest(route.objectiveMs, nowMs);
 */
export function createRecentObjectives(): RecentObjectives {
    const seenAtMs = new Map<number, number>();
    const isRecent = (atMs: number, nowMs: number) => nowMs - atMs <= OBJECTIVE_RETENTION_MS;
    return {
        recordRequest: (objectiveMs, nowMs) => {
            seenAtMs.set(objectiveMs, nowMs);
            for (const [seen, atMs] of seenAtMs) {
                if (!isRecent(atMs, nowMs)) {
                    seenAtMs.delete(seen);
                }
            }
        },
        readStrictest: nowMs =>
            Math.min(...[...seenAtMs].filter(([, atMs]) => isRecent(atMs, nowMs)).map(([objectiveMs]) => objectiveMs)),
    };
}
