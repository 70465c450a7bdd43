/**
 * @module The duty to report usage to the cloud, once for each window. The counts of a window are stored before they
 * are sent, so that every holder of the duties sends the same ones.
 */
import { ulid } from "ulid";
import { parseAnswer } from "../../adapters/_lib/parseAnswer";
import { FailureKind } from "../../base/failure";
import type { Log } from "../../base/log/log";
import type { DutyPort, UsageReport } from "../../ports/duties";
import type { TablePort } from "../../ports/table";
import type { Membership, StoredCounts } from "../news/createMembership";
import type { ClusterTime } from "../tables/createClusterTime";
import type { UsageLedger } from "./createUsageLedger";
import { USAGE_COUNTS_SCHEMA, type UsageCounts } from "./createUsageMeter";
import type { CheckHolder, Duty } from "./startDutyHolder";

const REPORT_PREFIX = "usage/";
/** Time after the end of a window by which the relays have usually written the counts of their nodes. */
const REPORT_DELAY_MS = 2_000;
/** Time after the end of a window from which the report no longer waits for nodes whose counts are missing. */
const LATE_NODE_WAIT_MS = 4_000;
/** A node whose last counts are older than this at the end of a window is taken to have been dead by then. */
const NODE_TIMEOUT_MS = 2_500;
/** A report that is overdue by more than this is given up. */
const OVERDUE_LIMIT_MS = 6_000;
const RETRY_MS = 500;
/** Rows that are no longer written, and stored reports, are deleted after this time. */
const ROW_RETENTION_MS = 90_000;
/** Most members whose rows are deleted in one transaction. */
const ROWS_DELETED_MAX = 80;

/** Dependencies and settings of the duty. */
export interface UsageDutyOptions {
    /** Length of a usage window. */
    readonly windowMs: number;
    /** Time from the end of a window until its report is due. */
    readonly dueMs: number;
    readonly cloud: DutyPort;
    readonly table: TablePort;
    readonly membership: Membership;
    readonly ledger: UsageLedger;
    readonly clusterTime: ClusterTime;
    /** True if the whole system starts for the first time, so that there are no earlier windows to report. */
    readonly isFirstStart: boolean;
    readonly log: Log;
}

/**
 * Creates the duty.
 *
 * @param options - Its dependencies and settings
 * @returns The duty
 * @example
 * const bounds = { windowMs: 5_000, dueMs: 10_000 };
 * createUsageDuty({ ...bounds, cloud, table, membership, ledger, clusterTime, isFirstStart, log });
 */
export function createUsageDuty(options: UsageDutyOptions): Duty {
    const { windowMs, dueMs, cloud, table, membership, ledger, clusterTime, log } = options;
    const firstWindow = options.isFirstStart ? Math.floor(clusterTime.readClusterMs() / windowMs) : 0;
    let lastHandledWindow = -1;
    let retryAtMs = 0;

    /**
     * Gives the stored counts of a window, or stores those collected from the nodes; `undefined` if it must be retried.
     */
    const commitCounts = async (window: number): Promise<UsageCounts | undefined> => {
        const key = `${REPORT_PREFIX}${window}`;
        const stored = await table.readRow(key);
        if (stored.isErr()) {
            return undefined;
        }
        if (stored.value !== undefined) {
            return parseAnswer(stored.value.value, USAGE_COUNTS_SCHEMA);
        }
        const collected = await membership.readCounts();
        if (collected === undefined) {
            return undefined;
        }
        [...collected.counts, ...membership.listCounts()].forEach(ledger.recordUsage);
        if (!isComplete(window)) {
            return undefined;
        }
        const counts = ledger.sumWindow(window);
        const committed = await table.commitTransaction({
            token: ulid(),
            conditions: [{ key, version: undefined }],
            writes: [{ key, value: JSON.stringify(counts) }, ...buildRowDeletions(collected, window)],
        });
        if (committed.isErr()) {
            log.info("usage report not stored", { window, reason: committed.error.message });
            return undefined;
        }
        return counts;
    };
    /** True if each node that was alive at the end of the window has reported since, or if the wait for it is over. */
    const isComplete = (window: number): boolean => {
        const endMs = (window + 1) * windowMs;
        const isLate = ({ atMs }: { readonly atMs: number }) => atMs < endMs && atMs > endMs - NODE_TIMEOUT_MS;
        return !ledger.listIncarnations().some(isLate) || clusterTime.readClusterMs() > endMs + LATE_NODE_WAIT_MS;
    };
    /** Builds the deletions of rows that are no longer written, and of an old report. */
    const buildRowDeletions = ({ rows }: StoredCounts, window: number) => {
        const beforeMs = clusterTime.readClusterMs() - ROW_RETENTION_MS;
        const dead = rows
            .filter(({ atMs }) => atMs < beforeMs)
            .slice(0, ROWS_DELETED_MAX)
            .map(({ key }) => key);
        const oldReport = `${REPORT_PREFIX}${window - Math.ceil(ROW_RETENTION_MS / windowMs)}`;
        return [...dead, oldReport].map(key => ({ key, value: undefined }));
    };
    /** Sends a report; false if it must be sent again. A refusal is final. */
    const sendReport = async (report: UsageReport, check: CheckHolder): Promise<boolean> => {
        const holder = check();
        if (holder === undefined) {
            return false;
        }
        const sent = await cloud.sendUsage(holder, report);
        log.info("usage reported", {
            window: report.window,
            epoch: holder.epoch,
            requests: Object.values(report.counts).reduce((sum, count) => sum + count, 0),
            failure: sent.isErr() ? sent.error.message : undefined,
        });
        return sent.isOk() || sent.error.kind === FailureKind.PlatformRefused;
    };
    return {
        beginTerm: () => {
            lastHandledWindow =
                Math.max(firstWindow, Math.floor((clusterTime.readClusterMs() - dueMs - OVERDUE_LIMIT_MS) / windowMs)) -
                1;
        },
        runStep: async check => {
            const nowMs = clusterTime.readClusterMs();
            const window = lastHandledWindow + 1;
            const endMs = (window + 1) * windowMs;
            if (nowMs < endMs + REPORT_DELAY_MS || nowMs < retryAtMs) {
                return;
            }
            if (nowMs > endMs + dueMs + OVERDUE_LIMIT_MS) {
                log.warn("usage report given up", { window });
                lastHandledWindow = window;
                return;
            }
            const counts = await commitCounts(window);
            if (counts !== undefined && (await sendReport({ window, counts }, check))) {
                lastHandledWindow = window;
            } else {
                retryAtMs = clusterTime.readClusterMs() + RETRY_MS;
            }
        },
    };
}
