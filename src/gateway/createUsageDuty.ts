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
import type { TrueTime } from "./createTrueTime";
import type { UsageLedger } from "./createUsageLedger";
import { USAGE_COUNTS_SCHEMA, type UsageCounts } from "./createUsageMeter";
import { buildMemberKey, type MemberRecord } from "./memberRecord";
import type { CheckHolder, Duty } from "./startDutyHolder";

const REPORT_PREFIX = "usage/";
/** Time after a window's end by which the nodes have written their counts as a rule. */
const SETTLE_MS = 1_200;
/** Time after a window's end from which the report is sent without the nodes that are late. */
const LATE_MS = 4_000;
/** A node that told nothing for this long before a window's end was dead then. */
const LIVE_MS = 2_500;
/** A report is tried for this long after it is due. */
const OVERDUE_MS = 6_000;
const RETRY_MS = 500;
/** Rows of dead nodes and old reports are removed after this time. */
const ROW_LIFE_MS = 90_000;

/** What the duty needs. */
export interface UsageDutyOptions {
    readonly windowMs: number;
    readonly dueMs: number;
    readonly cloud: DutyPort;
    readonly table: TablePort;
    readonly membership: Membership;
    readonly ledger: UsageLedger;
    readonly trueTime: TrueTime;
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
 * createUsageDuty({ windowMs: 5_000, dueMs: 10_000, cloud, table, membership, ledger, trueTime, isFirstStart, log });
 */
export function createUsageDuty(options: UsageDutyOptions): Duty {
    const { windowMs, dueMs, cloud, table, membership, ledger, trueTime, log } = options;
    const firstWindow = options.isFirstStart ? Math.floor(trueTime.readTrueMs() / windowMs) : 0;
    let sentUpTo = -1;
    let retryAtMs = 0;

    const settleCounts = async (window: number): Promise<UsageCounts | undefined> => {
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
            writes: [{ key, value: JSON.stringify(counts) }, ...listOldRows(records, window)],
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
        const isLate = ({ atMs }: { readonly atMs: number }) => atMs < endMs && atMs > endMs - LIVE_MS;
        return !ledger.listLives().some(isLate) || trueTime.readTrueMs() > endMs + LATE_MS;
    };
    const listOldRows = (records: readonly MemberRecord[], window: number) => {
        const beforeMs = trueTime.readTrueMs() - ROW_LIFE_MS;
        const dead = records.filter(record => record.atMs < beforeMs).map(buildMemberKey);
        const oldReport = `${REPORT_PREFIX}${window - Math.ceil(ROW_LIFE_MS / windowMs)}`;
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
            sentUpTo = Math.max(firstWindow, Math.floor((trueTime.readTrueMs() - dueMs - OVERDUE_MS) / windowMs)) - 1;
        },
        runStep: async check => {
            const nowMs = trueTime.readTrueMs();
            const window = sentUpTo + 1;
            const endMs = (window + 1) * windowMs;
            if (nowMs < endMs + SETTLE_MS || nowMs < retryAtMs) {
                return;
            }
            if (nowMs > endMs + dueMs + OVERDUE_MS) {
                log.warn("usage report given up", { window });
                sentUpTo = window;
                return;
            }
            const counts = await settleCounts(window);
            if (counts !== undefined && (await sendReport({ window, counts }, check))) {
                sentUpTo = window;
            } else {
                retryAtMs = trueTime.readTrueMs() + RETRY_MS;
            }
        },
    };
}
