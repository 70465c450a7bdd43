/**
 * @module This node's row in the store, and the rows of the others.
 */
import { ulid } from "ulid";
import type { Clock } from "../base/clock";
import { type TaskGenerator, superviseTask, waitFor } from "../base/csp";
import type { Disposable } from "../base/disposableStore";
import type { Log } from "../base/log/log";
import { createTaskFailureLogger } from "../base/log/createTaskFailureLogger";
import type { Random } from "../base/random";
import type { TablePort } from "../ports/table";
import type { TrueTime } from "./createTrueTime";
import type { UsageMeter } from "./createUsageMeter";
import { buildMemberKey, decodeMember, MEMBER_PREFIX, type MemberRecord } from "./memberRecord";

/** Time between two writes of the row while counts change, and while they don't. */
const WRITE_PERIOD_MS = 2_400;
const QUIET_WRITE_PERIOD_MS = 4_000;
/** Time between two looks at the others' rows; the first ones come sooner. */
const LIST_PERIOD_MS = 8_000;
const FIRST_LIST_PERIOD_MS = 1_000;
const FIRST_LISTS = 2;
/** A row that was not written for this long belongs to no live node: a node without the store serves no longer. */
const LIVE_MS = 9_000;
/** This long before its row counts as dead, a node takes it that the others stop to count it. */
const COUNTED_MARGIN_MS = 1_500;
/** After a first row, or one after such a pause, all others have listed it by then. */
const LISTED_MS = 1.25 * LIST_PERIOD_MS;
const STEP_MS = 125;

/** What the membership needs. */
export interface MembershipOptions {
    readonly node: string;
    readonly address: string;
    readonly port: number;
    readonly windowMs: number;
    readonly table: TablePort;
    readonly trueTime: TrueTime;
    readonly usage: UsageMeter;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
}

/** The nodes that live. */
export interface Membership extends Disposable {
    readonly life: string;
    /** Lists the live members but this one. */
    listOthers(): readonly MemberRecord[];
    /** True once the others' rows were read. */
    isKnown(): boolean;
    /** True if all others that reach the store count this node as a member. */
    isCounted(): boolean;
    /** Gives this node's own record as of now. */
    describeSelf(): MemberRecord;
    /** Reads all rows now, those of dead lives included. */
    readRecords(): Promise<readonly MemberRecord[] | undefined>;
}

/**
 * Starts to keep this node's row and to follow the others'.
 *
 * @param options - Who this node is
 * @returns The membership
 * @example
 * membership.listOthers().map(member => member.address);
 */
export function createMembership(options: MembershipOptions): Membership {
    const { table, trueTime, clock, random, log, windowMs } = options;
    const life = ulid();
    const self = { node: options.node, life, address: options.address, port: options.port };
    let members: readonly MemberRecord[] | undefined;
    let isStopped = false;
    let lastWritten = "";
    let lastWrittenAtMs = Number.NEGATIVE_INFINITY;
    let countedFromMs = Number.POSITIVE_INFINITY;
    let lastWindow = -1;
    let lists = 0;
    let nextListMs = 0;

    const describeSelf = (): MemberRecord => ({
        ...self,
        atMs: trueTime.readTrueMs(),
        windows: options.usage.readWindows(),
    });
    const readRecords = async () => {
        const rows = await table.listRows(MEMBER_PREFIX);
        return rows.isErr() ? undefined : rows.value.flatMap(row => decodeMember(row.value) ?? []);
    };
    const isFormerLife = (record: MemberRecord) => record.node === self.node && record.life !== life;
    const refreshMembers = async () => {
        const records = await readRecords();
        const periodMs = lists < FIRST_LISTS ? FIRST_LIST_PERIOD_MS : LIST_PERIOD_MS;
        nextListMs = clock.readMonotonicMs() + periodMs * (0.75 + 0.5 * random.drawFraction());
        if (records === undefined) {
            return;
        }
        lists++;
        // Without a pause since its last life the others have not stopped to count this node.
        const countedAfterMs = trueTime.readTrueMs() - LIVE_MS + COUNTED_MARGIN_MS;
        if (lists === 1 && records.some(record => isFormerLife(record) && record.atMs > countedAfterMs)) {
            countedFromMs = clock.readMonotonicMs();
        }
        const liveAfterMs = trueTime.readTrueMs() - LIVE_MS;
        const others = records.filter(record => record.life !== life && record.node !== self.node);
        members = others.filter(record => record.atMs > liveAfterMs);
    };
    const isRowLive = () => clock.readMonotonicMs() - lastWrittenAtMs < LIVE_MS - COUNTED_MARGIN_MS;
    const isWriteDue = (content: string): boolean => {
        const sinceMs = clock.readMonotonicMs() - lastWrittenAtMs;
        const window = Math.floor((trueTime.readTrueMs() - STEP_MS) / windowMs);
        const isWindowOver = window !== lastWindow;
        return isWindowOver || sinceMs > (content === lastWritten ? QUIET_WRITE_PERIOD_MS : WRITE_PERIOD_MS);
    };
    const writeRow = async (content: string) => {
        const window = Math.floor((trueTime.readTrueMs() - STEP_MS) / windowMs);
        const written = await table.commitTransaction({
            token: ulid(),
            conditions: [],
            writes: [{ key: buildMemberKey(self), value: JSON.stringify(describeSelf()) }],
        });
        if (written.isOk()) {
            if (!isRowLive()) {
                countedFromMs = clock.readMonotonicMs() + LISTED_MS;
            }
            lastWritten = content;
            lastWindow = window;
            lastWrittenAtMs = clock.readMonotonicMs();
        } else {
            log.debug("member row not written", { reason: written.error.message });
        }
    };
    const run = function* (): TaskGenerator<void> {
        while (!isStopped) {
            const content = JSON.stringify(options.usage.readWindows());
            if (trueTime.hasAgreedOffset() && isWriteDue(content)) {
                yield* waitFor(writeRow(content));
            }
            if (trueTime.hasAgreedOffset() && clock.readMonotonicMs() >= nextListMs) {
                yield* waitFor(refreshMembers());
            }
            yield* waitFor(clock.waitMs(STEP_MS));
        }
    };
    void superviseTask("membership", run, {
        clock,
        reportFailure: createTaskFailureLogger(log),
    });
    return {
        life,
        listOthers: () => members ?? [],
        isKnown: () => members !== undefined,
        isCounted: () => isRowLive() && clock.readMonotonicMs() >= countedFromMs,
        describeSelf,
        readRecords,
        dispose: () => {
            isStopped = true;
        },
    };
}
