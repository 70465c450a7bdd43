/**
 * @module The attempts at both versions of a service, as this node and the fleet count them.
 *
 * Answer times are judged relative to what was expected of them, so that endpoints with different loads and caches can
 * be compared, and counted for their route and for all routes together.
 */
import { buildCellKey } from "../../decisions/versions/buildCellKey";
import { createEvidenceCell } from "../../decisions/versions/createEvidenceCell";
import { createMoveEvidence } from "../../decisions/versions/createMoveEvidence";
import { ALL_ROUTES } from "../../decisions/versions/listMissingEvidence";
import { listOwnCounts } from "../../decisions/versions/listOwnCounts";
import { mergeReports } from "../../decisions/versions/mergeReports";
import { recordObservation } from "../../decisions/versions/recordObservation";
import { updatePooledScores } from "../../decisions/versions/updatePooledScores";
import {
    type CellCounts,
    LoadLevel,
    Measure,
    type MoveEvidence,
    type SlowRule,
    type VersionAlarm,
} from "../../decisions/versions/versionEvidence";

/** The two sides of a comparison, whatever the versions are called. */
const OLD_VERSION = "old";
const NEW_VERSION = "new";
const PERCENT = 100;
/** By the median, since in trouble many answers of the old version are late for other reasons. */
const SLOW_RULE: SlowRule = { percentile: 50, factor: 3 };
/** Most routes of a service that are judged by themselves. */
const ROUTES_MAX = 63;
/** Key of the fleet's counts among those of other nodes. */
const FLEET = "fleet";

/** An attempt that has ended. */
export interface VersionAttempt {
    readonly route: string;
    readonly isNewVersion: boolean;
    readonly hasFailed: boolean;
    /** Time to the first part of the answer as a multiple of the expected one; absent if there was none. */
    readonly slowness: number | undefined;
}

/** The attempts at both versions. */
export interface RolloutEvidence {
    /** Counts an attempt; gives the alarm that it raises at this node alone. */
    recordAttempt(attempt: VersionAttempt): VersionAlarm | undefined;
    /** Takes the counts of the whole fleet; gives the alarm that they raise. */
    mergeFleet(cells: readonly CellCounts[]): VersionAlarm | undefined;
    /** Lists the counts of this node, and of the fleet as far as they are known. */
    listOwn(): readonly CellCounts[];
    listFleet(): readonly CellCounts[];
    /** Forgets all counts, for a new order; what is known of usual answer times on routes in use stays. */
    reset(): void;
}

/**
 * Creates evidence without any attempts.
 *
 * @param service - The service
 * @returns The evidence
 * @example
 * evidence.recordAttempt({ route: "chat", isNewVersion: true, hasFailed: true, slowness: undefined });
 */
export function createRolloutEvidence(service: string): RolloutEvidence {
    const loadLevel = LoadLevel.Low;
    let own = createEvidence(service);
    let pooled = createEvidence(service);
    let fleet: readonly CellCounts[] = [];
    const mergeFleet = (cells: readonly CellCounts[]) => {
        fleet = mergeReports(mergeReports(fleet, cells), listOwnCounts(own));
        pooled.peerCounts.set(FLEET, fleet);
        return updatePooledScores(pooled);
    };
    return {
        recordAttempt: ({ route, isNewVersion, hasFailed, slowness }) => {
            const observation = {
                version: isNewVersion ? NEW_VERSION : OLD_VERSION,
                loadLevel,
                isFailure: hasFailed,
                firstTokenMs: slowness === undefined ? undefined : slowness * PERCENT,
            };
            const isJudgedAlone = own.cells.size <= ROUTES_MAX || own.cells.has(buildCellKey({ route, loadLevel }));
            const alarms = (isJudgedAlone ? [ALL_ROUTES, route] : [ALL_ROUTES]).map(name =>
                recordObservation(own, { ...observation, route: name }),
            );
            return alarms.find(alarm => alarm !== undefined);
        },
        mergeFleet,
        listOwn: () => listOwnCounts(own),
        listFleet: () => mergeReports(fleet, listOwnCounts(own)),
        reset: () => {
            const fresh = createEvidence(service);
            const inUse = [...own.cells].filter(([, { counts }]) => counts.old[Measure.Failures].trials > 0);
            for (const [key, { counts, firstTokenTimes }] of inUse) {
                fresh.cells.set(key, { ...createEvidenceCell(counts.route, counts.loadLevel), firstTokenTimes });
            }
            own = fresh;
            pooled = createEvidence(service);
            fleet = [];
        },
    };
}

function createEvidence(name: string): MoveEvidence {
    return createMoveEvidence({ name, fromVersion: OLD_VERSION, toVersion: NEW_VERSION }, SLOW_RULE);
}
