/**
 * @module The duty to report usage: once for each window, the same counts whoever sends them.
 */
import { ulid } from "ulid";
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import { FailureKind } from "../base/failure";
import type { Log } from "../base/log/log";
import type { DutyPort, UsageReport } from "../ports/duties";
import type { TablePort } from "../ports/table";
import type { Membership } from "./createMembership";
import type { ClusterTime } from "./createClusterTime";
import type { UsageLedger } from "./createUsageLedger";
import { USAGE_COUNTS_SCHEMA, type UsageCounts } from "./createUsageMeter";
import { buildMemberKey, type MemberRecord } from "./memberRecord";
import type { CheckHolder, Duty } from "./startDutyHolder";

const REPORT_PREFIX = "usage/";
/** Time after a window's end by which the nodes have written their counts as a rule. */
const REPORT_DELAY_MS = 1_200;
/** Time after a window's end from which the report is sent without the nodes that are late. */
const LATE_NODE_WAIT_MS = 4_000;
/** A node that told nothing for this long before a window's end was dead then. */
const NODE_TIMEOUT_MS = 2_500;
/** A report is tried for this long after it is due. */
const OVERDUE_LIMIT_MS = 6_000;
const RETRY_MS = 500;
/** Rows of dead nodes and old reports are removed after this time. */
const ROW_RETENTION_MS = 90_000;

/** What the duty needs. */
export interface UsageDutyOptions {
    readonly windowMs: number;
    readonly dueMs: number;
    readonly cloud: DutyPort;
    readonly table: TablePort;
    readonly membership: Membership;
    readonly ledger: UsageLedger;
    readonly clusterTime: ClusterTime;
    /** True if the whole system starts for the first time: there is nothing to report from before. */
    readonly isFirstStart: boolean;
    readonly log: Log;
}

/**
 * Creates the duty.
 *
 * @param options - What it needs
 * @returns The duty
 * @example
 * createUsageDuty({ windowMs: 5_000, dueMs: 10_000, cloud, table, membership, ledger, clusterTime, isFirstStart, log });
 */
export function createUsageDuty(options: UsageDutyOptions): Duty {
    const { windowMs, dueMs, cloud, table, membership, ledger, clusterTime, log } = options;
    const firstWindow = options.isFirstStart ? Math.floor(clusterTime.readClusterMs() / windowMs) : 0;
    let lastHandledWindow = -1;
    let retryAtMs = 0;

    const commitCounts = async (window: number): Promise<UsageCounts | undefined> => {
        const key = `${REPORT_PREFIX}${window}`;
        const stored = await table.readRow(key);
        if (stored.isErr()) {
            return undefined;
        }
        if (stored.value !== undefined) {
            return parseAnswer(stored.value.value, USAGE_COUNTS_SCHEMA);
        }
        const records = await membership.readRecords();
        if (records === undefined) {
            return undefined;
        }
        records.forEach(ledger.recordUsage);
        ledger.recordUsage(membership.describeSelf());
        if (!isComplete(window)) {
            return undefined;
        }
        const counts = ledger.sumWindow(window);
        const committed = await table.commitTransaction({
            token: ulid(),
            conditions: [{ key, version: undefined }],
            writes: [{ key, value: JSON.stringify(counts) }, ...buildRowDeletions(records, window)],
        });
        if (committed.isErr()) {
            log.info("usage report not stored", { window, reason: committed.error.message });
            return undefined;
        }
        return counts;
    };
    /** Complete if every node that lived at the window's end has told of it since, or if none is waited for any longer. */
    const isComplete = (window: number): boolean => {
        const endMs = (window + 1) * windowMs;
        const isLate = ({ atMs }: { readonly atMs: number }) => atMs < endMs && atMs > endMs - NODE_TIMEOUT_MS;
        return !ledger.listIncarnations().some(isLate) || clusterTime.readClusterMs() > endMs + LATE_NODE_WAIT_MS;
    };
    const buildRowDeletions = (records: readonly MemberRecord[], window: number) => {
        const beforeMs = clusterTime.readClusterMs() - ROW_RETENTION_MS;
        const dead = records.filter(record => record.atMs < beforeMs).map(buildMemberKey);
        const oldReport = `${REPORT_PREFIX}${window - Math.ceil(ROW_RETENTION_MS / windowMs)}`;
        return [...dead, oldReport].map(key => ({ key, value: undefined }));
    };
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
