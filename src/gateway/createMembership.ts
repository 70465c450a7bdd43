/**
 * @module Membership of the gateway nodes: this node's row in the store, and the rows of the others.
 */
import { ulid } from "ulid";
import type { Clock } from "../base/clock";
import { type TaskGenerator, superviseTask, waitFor } from "../base/csp";
import type { Disposable } from "../base/disposableStore";
import type { Log } from "../base/log/log";
import { createTaskFailureLogger } from "../base/log/createTaskFailureLogger";
import type { Random } from "../base/random";
import type { TablePort } from "../ports/table";
import type { ClusterTime } from "./createClusterTime";
import type { UsageMeter } from "./createUsageMeter";
import { buildMemberKey, decodeMember, MEMBER_PREFIX, type MemberRecord } from "./memberRecord";

/** Time between two writes of the row while the usage counts change, and while they do not. */
const WRITE_PERIOD_MS = 2_400;
const UNCHANGED_WRITE_PERIOD_MS = 4_000;
/** Time between two reads of all rows, and between the first ones after a start. */
const LIST_PERIOD_MS = 8_000;
const INITIAL_LIST_PERIOD_MS = 1_000;
const INITIAL_LIST_COUNT = 2;
/** A row older than this belongs to a dead node: a node that can't reach the store for so long stops serving. */
const MEMBER_TIMEOUT_MS = 9_000;
/** A node assumes that the others no longer count it this long before its row times out. */
const COUNTED_MARGIN_MS = 1_500;
/** Time after the first row, or the first one after a timeout, by which all other nodes have read it. */
const LISTED_BY_ALL_MS = 1.25 * LIST_PERIOD_MS;
const CHECK_PERIOD_MS = 125;

/** Identity of this node, and the dependencies of the membership. */
export interface MembershipOptions {
    readonly node: string;
    readonly address: string;
    readonly port: number;
    /** Length of a usage window. */
    readonly windowMs: number;
    readonly table: TablePort;
    readonly clusterTime: ClusterTime;
    readonly usage: UsageMeter;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
}

/** The live nodes. */
export interface Membership extends Disposable {
    /** Incarnation of this node: identifies this start of its process. */
    readonly life: string;
    /** Lists the live members except this node. */
    listOthers(): readonly MemberRecord[];
    /** True once the rows of the other nodes were read. */
    isLoaded(): boolean;
    /**
     * True if all other nodes that reach the store count this node as a member and so leave it its share of the quotas.
     */
    isCounted(): boolean;
    /** Builds the current record of this node. */
    describeSelf(): MemberRecord;
    /** Reads all rows from the store, including those of dead incarnations; `undefined` on a failure. */
    readRecords(): Promise<readonly MemberRecord[] | undefined>;
}

/**
 * Starts to write this node's row periodically, and to read those of the other nodes.
 *
 * @param options - Identity of this node, and dependencies
 * @returns The membership
 * @example
 * membership.listOthers().map(member => member.address);
 */
export function createMembership(options: MembershipOptions): Membership {
    const { table, clusterTime, clock, random, log, windowMs } = options;
    const life = ulid();
    const self = { node: options.node, life, address: options.address, port: options.port };
    let members: readonly MemberRecord[] | undefined;
    let isStopped = false;
    let lastContent = "";
    let lastWrittenAtMs = Number.NEGATIVE_INFINITY;
    let countedFromMs = Number.POSITIVE_INFINITY;
    let lastWindow = -1;
    let listCount = 0;
    let nextListMs = 0;

    const describeSelf = (): MemberRecord => ({
        ...self,
        atMs: clusterTime.readClusterMs(),
        windows: options.usage.readWindows(),
    });
    const readRecords = async () => {
        const rows = await table.listRows(MEMBER_PREFIX);
        return rows.isErr() ? undefined : rows.value.flatMap(row => decodeMember(row.value) ?? []);
    };
    const isFormerIncarnation = (record: MemberRecord) => record.node === self.node && record.life !== life;
    const refreshMembers = async () => {
        const records = await readRecords();
        const periodMs = listCount < INITIAL_LIST_COUNT ? INITIAL_LIST_PERIOD_MS : LIST_PERIOD_MS;
        nextListMs = clock.readMonotonicMs() + periodMs * (0.75 + 0.5 * random.drawFraction());
        if (records === undefined) {
            return;
        }
        listCount++;
        // If the previous incarnation wrote its row recently, the other nodes have never stopped counting this node.
        const countedAfterMs = clusterTime.readClusterMs() - MEMBER_TIMEOUT_MS + COUNTED_MARGIN_MS;
        if (listCount === 1 && records.some(record => isFormerIncarnation(record) && record.atMs > countedAfterMs)) {
            countedFromMs = clock.readMonotonicMs();
        }
        const liveAfterMs = clusterTime.readClusterMs() - MEMBER_TIMEOUT_MS;
        const others = records.filter(record => record.life !== life && record.node !== self.node);
        members = others.filter(record => record.atMs > liveAfterMs);
    };
    const isRowLive = () => clock.readMonotonicMs() - lastWrittenAtMs < MEMBER_TIMEOUT_MS - COUNTED_MARGIN_MS;
    const isWriteDue = (content: string): boolean => {
        const sinceMs = clock.readMonotonicMs() - lastWrittenAtMs;
        const window = Math.floor((clusterTime.readClusterMs() - CHECK_PERIOD_MS) / windowMs);
        const isWindowOver = window !== lastWindow;
        return isWindowOver || sinceMs > (content === lastContent ? UNCHANGED_WRITE_PERIOD_MS : WRITE_PERIOD_MS);
    };
    const writeRow = async (content: string) => {
        const window = Math.floor((clusterTime.readClusterMs() - CHECK_PERIOD_MS) / windowMs);
        const written = await table.commitTransaction({
            token: ulid(),
            conditions: [],
            writes: [{ key: buildMemberKey(self), value: JSON.stringify(describeSelf()) }],
        });
        if (written.isOk()) {
            if (!isRowLive()) {
                countedFromMs = clock.readMonotonicMs() + LISTED_BY_ALL_MS;
            }
            lastContent = content;
            lastWindow = window;
            lastWrittenAtMs = clock.readMonotonicMs();
        } else {
            log.debug("member row not written", { reason: written.error.message });
        }
    };
    const run = function* (): TaskGenerator<void> {
        while (!isStopped) {
            const content = JSON.stringify(options.usage.readWindows());
            if (clusterTime.hasAgreedOffset() && isWriteDue(content)) {
                yield* waitFor(writeRow(content));
            }
            if (clusterTime.hasAgreedOffset() && clock.readMonotonicMs() >= nextListMs) {
                yield* waitFor(refreshMembers());
            }
            yield* waitFor(clock.waitMs(CHECK_PERIOD_MS));
        }
    };
    void superviseTask("membership", run, {
        clock,
        reportFailure: createTaskFailureLogger(log),
    });
    return {
        life,
        listOthers: () => members ?? [],
        isLoaded: () => members !== undefined,
        isCounted: () => isRowLive() && clock.readMonotonicMs() >= countedFromMs,
        describeSelf,
        readRecords,
        dispose: () => {
            isStopped = true;
        },
    };
}
