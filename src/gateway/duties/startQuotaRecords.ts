/**
 * @module Records in the store what all nodes together charged, so that nodes which start after a loss of all nodes at once know
 * when that usage leaves the quota window.
 */
import { ulid } from "ulid";
import { z } from "zod";
import { parseAnswer } from "../../adapters/_lib/parseAnswer";
import type { Clock } from "../../base/clock";
import { type TaskGenerator, waitFor } from "../../base/csp/index";
import type { Log } from "../../base/log/log";
import type { AccountQuotas } from "../../decisions/gateway/accountQuotas";
import { createUsageSamples, SAMPLE_SPAN_MS, type UsageRecord } from "../../decisions/gateway/createUsageSamples";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import type { TablePort } from "../../ports/table";
import type { FleetNews } from "../news/createFleetNews";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import { startLoop } from "../process/startLoop";
import type { ClusterTime } from "../tables/createClusterTime";
import type { ConfigurationHolder } from "../tables/createConfigurationHolder";

export const QUOTA_RECORD_KEY = "quota/usage";
/** Time between two checks for the store's clock, and between two reads that fail, after a start. */
const START_CHECK_PERIOD_MS = 20;
const READ_RETRY_MS = 150;

const RECORD_SCHEMA = z.object({
    /** Store's clock at which the record was built. */
    atMs: z.number(),
    samples: z.array(
        z.object({ ageMs: z.number().nonnegative(), usage: z.record(z.string(), z.number().nonnegative()) }),
    ),
});

/** Dependencies and settings of the records. */
export interface QuotaRecordsOptions {
    /** Time between two records; 0 or less turns them off. */
    readonly periodMs: number;
    readonly quotaWindowMs: number;
    readonly quotas: Pick<AccountQuotas, "recordFormerUsage">;
    readonly news: Pick<FleetNews, "isInTouch" | "readRowSources" | "readUsage">;
    readonly configuration: Pick<ConfigurationHolder, "readCurrent">;
    readonly table: Pick<TablePort, "readRow" | "commitTransaction">;
    readonly clusterTime: Pick<ClusterTime, "readStoreMs">;
    readonly clock: Clock;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}

/**
 * Starts the records: reads the one of a former life of the fleet once, and writes new ones while this node reads the store for
 * all others.
 *
 * @param options - Dependencies and settings
 * @example
 * startQuotaRecords({ periodMs: 1_000, quotaWindowMs, quotas, news, configuration, table, clusterTime, clock, log, reportFailure });
 */
export function startQuotaRecords(options: QuotaRecordsOptions): void {
    const { periodMs, quotaWindowMs, quotas, news, configuration, table, clusterTime, clock, log } = options;
    if (periodMs <= 0) {
        return;
    }
    const startedAtMs = clock.readMonotonicMs();
    const samples = createUsageSamples(quotaWindowMs);
    let hasRead = false;
    let writtenAtMs = Number.NEGATIVE_INFINITY;
    let isEmptyStored = false;

    const readRecord = async (): Promise<void> => {
        const row = await table.readRow(QUOTA_RECORD_KEY);
        const storeMs = clusterTime.readStoreMs();
        if (row.isErr() || storeMs === undefined) {
            return;
        }
        hasRead = true;
        const decoded = row.value === undefined ? undefined : parseAnswer(row.value.value, RECORD_SCHEMA);
        const ageMs = storeMs - (decoded?.atMs ?? Number.NEGATIVE_INFINITY);
        // A record from the future has another clock, and of an older one all has left the window.
        if (decoded !== undefined && ageMs >= 0 && ageMs < quotaWindowMs) {
            quotas.recordFormerUsage({ record: decoded.samples, atMs: clock.readMonotonicMs() - ageMs });
            log.info("former usage read", { ageMs: Math.round(ageMs), samples: decoded.samples.length });
        }
    };
    const recordView = () => {
        const { usage } = news.readUsage();
        const limited = configuration.readCurrent()?.configuration.accounts ?? [];
        const withQuota = new Set(limited.filter(({ quotaPerSecond }) => quotaPerSecond > 0).map(({ name }) => name));
        const counted = Object.entries(usage).filter(([account]) => withQuota.has(account));
        samples.recordView({ usage: Object.fromEntries(counted) }, clock.readMonotonicMs());
    };
    const isEmpty = (record: UsageRecord) => record.every(({ usage }) => Object.keys(usage).length === 0);
    const writeRecord = async (storeMs: number): Promise<void> => {
        const record = samples.buildRecord(clock.readMonotonicMs());
        if (isEmptyStored && isEmpty(record)) {
            return;
        }
        writtenAtMs = clock.readMonotonicMs();
        const value = JSON.stringify({ atMs: Math.round(storeMs), samples: record });
        const written = await table.commitTransaction({
            token: ulid(),
            conditions: [],
            writes: [{ key: QUOTA_RECORD_KEY, value }],
        });
        isEmptyStored = written.isOk() && isEmpty(record);
    };
    /**
     * True if this node writes now: the only one that reads the store for all, once the nodes have counted for a whole window. An
     * earlier record would replace what is known of the usage before their start.
     */
    const isWriteDue = () =>
        clock.readMonotonicMs() - writtenAtMs >= periodMs &&
        news.readRowSources().role === RowRole.Reader &&
        news.readUsage().countsForMs >= quotaWindowMs;
    const run = function* (): TaskGenerator<void> {
        while (!hasRead && clock.readMonotonicMs() - startedAtMs < quotaWindowMs) {
            const isClockKnown = clusterTime.readStoreMs() !== undefined;
            if (isClockKnown) {
                yield* waitFor(readRecord());
            }
            yield* waitFor(clock.waitMs(isClockKnown ? READ_RETRY_MS : START_CHECK_PERIOD_MS));
        }
        hasRead = true;
        for (
            let dueAtMs = clock.readMonotonicMs();
            ;
            dueAtMs = Math.max(dueAtMs + SAMPLE_SPAN_MS, clock.readMonotonicMs())
        ) {
            yield* waitFor(clock.waitMs(Math.max(0, dueAtMs - clock.readMonotonicMs())));
            const storeMs = clusterTime.readStoreMs();
            if (news.isInTouch()) {
                recordView();
                if (storeMs !== undefined && isWriteDue()) {
                    yield* waitFor(writeRecord(storeMs));
                }
            }
        }
    };
    startLoop(FailureOwner.QuotaRecords, run, options);
}
