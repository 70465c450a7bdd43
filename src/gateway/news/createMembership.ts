/**
 * @module The rows of the nodes in the store: by them a node that starts finds the relays, the relays find each other,
 * and the usage counts of dead nodes are kept.
 */
import { ulid } from "ulid";
import type { Clock } from "../../base/clock";
import { type TaskGenerator, waitFor } from "../../base/csp/index";
import type { Disposable } from "../../base/disposableStore";
import type { Log } from "../../base/log/log";
import type { Random } from "../../base/random";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import { CRASH_RETENTION_MS, MEMBER_TIMEOUT_MS } from "../../decisions/relays/constants";
import type { ReportedCounts } from "../../decisions/relays/createReportCollector";
import { advanceSuspects, mergeSuspects } from "../../decisions/relays/mergeSuspects";
import type { NodeIdentity } from "../../decisions/relays/news";
import type { RowWrite, TablePort, TableRow } from "../../ports/table";
import type { ClusterTime } from "../tables/createClusterTime";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import type { FleetNews } from "./createFleetNews";
import { startLoop } from "../process/startLoop";
import type { UsageMeter } from "../duties/createUsageMeter";
import {
    buildMemberKey,
    buildRelayKey,
    decodeMember,
    decodeRelay,
    encodeRelay,
    MEMBER_PREFIX,
    type MemberRecord,
    RELAY_PREFIX,
} from "./memberRecord";

/** Time between two writes of a node whose usage counts no other node knows: an only relay, or a node without one. */
const WRITE_PERIOD_MS = 2_400;
/** Time between two writes of a relay with a second one beside it; it also writes at the end of each usage window. */
const PAIRED_WRITE_PERIOD_MS = 6_500;
/** A node that started writes its row once more after this time if it has no relay yet. */
const ORPHAN_AFTER_MS = 2_000;
/** Time after the end of a usage window by which all nodes have reported their counts to their relays. */
const WINDOW_SETTLE_MS = 1_300;
/** Time between two reads of the relays' rows by a relay, and while it hears no relay of some failure domain. */
const RELAY_LIST_PERIOD_MS = 20_000;
const LOST_RELAY_LIST_PERIOD_MS = 4_000;
/** Time between two reads of the members while this node has just started or has no relay. */
const MEMBER_LIST_PERIOD_MS = 1_500;
/** Reads of the members after a start, when many nodes may start together. */
const INITIAL_LIST_COUNT = 3;
/** Time between two checks while this node starts. */
const START_CHECK_PERIOD_MS = 20;
/** Reads of the members after which a node takes itself for a relay in the store. */
const RELAY_AFTER_LISTS = 2;
const CHECK_PERIOD_MS = 125;
/** Rows of relays are deleted after this time without a write, when the evidence in them is of no use any more. */
const RELAY_RETENTION_MS = CRASH_RETENTION_MS + 60_000;
/** Most rows that are deleted in one transaction. */
const ROWS_DELETED_MAX = 80;
/** Times in rows are taken for so much later, as two nodes may differ on the cluster time: no crash becomes too old. */
const STORED_AGE_MARGIN_MS = 500;

/** Identity of this node, and the dependencies of the membership. */
export interface MembershipOptions {
    readonly self: NodeIdentity;
    /** Length of a usage window. */
    readonly windowMs: number;
    readonly news: FleetNews;
    readonly table: TablePort;
    readonly clusterTime: ClusterTime;
    readonly usage: UsageMeter;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}

/** The rows of the nodes. */
export interface Membership extends Disposable {
    /** Reads the usage counts of all nodes from the store, those of dead incarnations included. */
    readCounts(): Promise<StoredCounts | undefined>;
    /** Gives this node's own counts and those that were reported to it. */
    listCounts(): readonly ReportedCounts[];
    /** Ends the writes, and stores all counts that this node knows a last time; never rejects. */
    storeLastCounts(): Promise<void>;
}

/** The usage counts in the store, with the rows that hold them. */
export interface StoredCounts {
    readonly counts: readonly ReportedCounts[];
    /** The key and time of each row. */
    readonly rows: readonly { readonly key: string; readonly atMs: number }[];
}

/**
 * Starts to write this node's rows where they are needed, and to read those of the others.
 *
 * @param options - Identity of this node, and dependencies
 * @returns The membership
 * @example
 * (await membership.readCounts())?.counts.forEach(ledger.recordUsage);
 */
export function createMembership(options: MembershipOptions): Membership {
    const { self, news, table, clusterTime, clock, random, log, windowMs } = options;
    let isStopped = false;
    let hasWritten = false;
    let lastWrittenAtMs = Number.NEGATIVE_INFINITY;
    let lastWindow = -1;
    let listCount = 0;
    let nextMemberListMs = 0;
    let relaysListedAtMs = Number.NEGATIVE_INFINITY;
    let relayListFactor = 1;
    let orphanedSinceMs: number | undefined;

    const readWindow = () => Math.floor((clusterTime.readClusterMs() - WINDOW_SETTLE_MS) / windowMs);
    const listCounts = () => [
        ...news.listCounts().filter(({ life }) => life !== self.life),
        { node: self.node, life: self.life, atMs: clusterTime.readClusterMs(), windows: options.usage.readWindows() },
    ];
    /** A node that has just started may not know yet that others are chosen. */
    const isStoredRelay = () => news.isRelay() && listCount >= RELAY_AFTER_LISTS;
    const hasRelay = () => news.isRelay() || news.isInTouch();
    /** Lists the rows to write: a relay's two rows, or the row about this node itself. */
    const buildWrites = (): readonly RowWrite[] => {
        const atMs = clusterTime.readClusterMs();
        const members = news.listMembers();
        const record: MemberRecord = { atMs, members: members.length === 0 ? [self] : members, counts: listCounts() };
        const memberRow = { key: buildMemberKey(self), value: JSON.stringify(record) };
        if (!isStoredRelay()) {
            return [memberRow];
        }
        const suspects = news.readSuspects();
        const relayRow = encodeRelay({ atMs, identity: self, nodes: record.members.length, suspects });
        return [memberRow, { key: buildRelayKey(self), value: relayRow }];
    };
    const isWriteDue = (): boolean => {
        const sinceMs = clock.readMonotonicMs() - lastWrittenAtMs;
        const isOrphan = orphanedSinceMs !== undefined && clock.readMonotonicMs() - orphanedSinceMs > ORPHAN_AFTER_MS;
        if (!hasWritten) {
            return sinceMs > WRITE_PERIOD_MS;
        }
        if (!isStoredRelay()) {
            return isOrphan && sinceMs > WRITE_PERIOD_MS;
        }
        return sinceMs > (news.isOnlyRelay() ? WRITE_PERIOD_MS : PAIRED_WRITE_PERIOD_MS) || readWindow() !== lastWindow;
    };
    const writeRows = async () => {
        const window = readWindow();
        const isRelay = isStoredRelay();
        lastWrittenAtMs = clock.readMonotonicMs();
        const written = await table.commitTransaction({ token: ulid(), conditions: [], writes: buildWrites() });
        if (written.isErr()) {
            log.debug("member row not written", { reason: written.error.message });
            return;
        }
        hasWritten = true;
        lastWindow = window;
        if (isRelay) {
            news.recordStored();
        }
    };
    const listMembers = async () => {
        const rows = await table.listRows(`${MEMBER_PREFIX}${self.failureDomain}/`);
        nextMemberListMs = clock.readMonotonicMs() + MEMBER_LIST_PERIOD_MS * (0.75 + 0.5 * random.drawFraction());
        if (rows.isErr()) {
            return;
        }
        listCount++;
        const liveAfterMs = clusterTime.readClusterMs() - MEMBER_TIMEOUT_MS;
        const records = rows.value.flatMap(row => decodeMember(row.value) ?? []);
        news.addMembers(records.filter(({ atMs }) => atMs > liveAfterMs).flatMap(({ members }) => members));
    };
    /** Deletes rows that no relay writes any more, unless one is written meanwhile. One node of the fleet does this. */
    const removeDeadRelays = async (rows: readonly TableRow[], nowMs: number) => {
        const isDead = (atMs = nowMs) => nowMs - atMs > RELAY_RETENTION_MS;
        const dead = rows.filter(({ value }) => isDead(decodeRelay(value)?.atMs)).slice(0, ROWS_DELETED_MAX);
        if (dead.length === 0 || listCount === 0 || news.readRowSources().role !== RowRole.Reader) {
            return;
        }
        const removed = await table.commitTransaction({
            token: ulid(),
            conditions: dead.map(({ key, version }) => ({ key, version })),
            writes: dead.map(({ key }) => ({ key, value: undefined })),
        });
        log.info("rows of dead relays removed", {
            count: dead.length,
            failure: removed.isErr() ? removed.error.message : undefined,
        });
    };
    const listRelays = async () => {
        const rows = await table.listRows(RELAY_PREFIX);
        relaysListedAtMs = clock.readMonotonicMs();
        relayListFactor = 0.75 + 0.5 * random.drawFraction();
        if (rows.isErr()) {
            return;
        }
        const nowMs = clusterTime.readClusterMs();
        await removeDeadRelays(rows.value, nowMs);
        const relays = rows.value.flatMap(row => decodeRelay(row.value) ?? []);
        const suspects = relays.map(relay =>
            advanceSuspects(relay.suspects, nowMs - relay.atMs - STORED_AGE_MARGIN_MS),
        );
        news.addStoredSuspects(mergeSuspects(suspects, Math.max));
        news.addStoredRelays(relays.filter(({ atMs }) => atMs > nowMs - MEMBER_TIMEOUT_MS));
    };
    const isMemberListDue = () =>
        clock.readMonotonicMs() >= nextMemberListMs && (listCount < INITIAL_LIST_COUNT || !hasRelay());
    const isRelayListDue = () => {
        const periodMs = news.hasUnreachableDomain() ? LOST_RELAY_LIST_PERIOD_MS : RELAY_LIST_PERIOD_MS;
        const isDue = clock.readMonotonicMs() - relaysListedAtMs > periodMs * relayListFactor;
        return isDue && (listCount === 0 || news.isRelay());
    };
    const run = function* (): TaskGenerator<void> {
        while (!isStopped) {
            if (clusterTime.hasAgreedOffset()) {
                orphanedSinceMs = hasRelay() ? undefined : (orphanedSinceMs ?? clock.readMonotonicMs());
                // A node that starts reads the relays first, since the number of nodes bounds what it may admit.
                // Its own row needs nothing of theirs, but the members come after it: of two nodes that start, one lists the other.
                if (listCount === 0 && isRelayListDue() && isWriteDue()) {
                    yield* waitFor(Promise.all([listRelays(), writeRows()]));
                }
                if (isRelayListDue()) {
                    yield* waitFor(listRelays());
                }
                if (isWriteDue()) {
                    yield* waitFor(writeRows());
                }
                if (isMemberListDue()) {
                    yield* waitFor(listMembers());
                }
            }
            yield* waitFor(clock.waitMs(listCount === 0 ? START_CHECK_PERIOD_MS : CHECK_PERIOD_MS));
        }
    };
    startLoop(FailureOwner.Membership, run, options);
    return {
        readCounts: async () => {
            const rows = await table.listRows(MEMBER_PREFIX);
            if (rows.isErr()) {
                return undefined;
            }
            const records = rows.value.flatMap(({ key, value }) => {
                const record = decodeMember(value);
                return record === undefined ? [] : [{ key, record }];
            });
            return {
                counts: records.flatMap(({ record }) => record.counts),
                rows: records.map(({ key, record }) => ({ key, atMs: record.atMs })),
            };
        },
        listCounts,
        storeLastCounts: async () => {
            isStopped = true;
            const counts = listCounts().filter(({ windows }) => Object.keys(windows).length > 0);
            if (!clusterTime.hasAgreedOffset() || counts.length === 0) {
                return;
            }
            const members = news.listMembers().filter(({ node }) => node !== self.node);
            const record: MemberRecord = { atMs: clusterTime.readClusterMs(), members, counts };
            const writes = [{ key: buildMemberKey(self), value: JSON.stringify(record) }];
            const written = await table.commitTransaction({ token: ulid(), conditions: [], writes });
            log.info("last usage counts stored", {
                incarnations: counts.length,
                failure: written.isErr() ? written.error.message : undefined,
            });
        },
        dispose: () => {
            isStopped = true;
        },
    };
}
