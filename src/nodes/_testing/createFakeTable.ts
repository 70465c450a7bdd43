/**
 * @module A table in memory with fault switches and a delay on a clock of the test's own.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import type { TablePort, TableRow, TableTransaction } from "../../ports/table";

/** What befalls calls of one table client. */
export enum TableFault {
    None = "none",
    /** Calls are refused; nothing takes effect. */
    Down = "down",
    /** Calls are never answered and take no effect. */
    Silent = "silent",
    /** Writes take effect and their answers are lost. */
    AnswerLostAfterEffect = "answer_lost_after_effect",
    /** Writes take effect `LATE_EFFECT_MS` after their answers are lost. */
    AnswerLostBeforeEffect = "answer_lost_before_effect",
}

const LATE_EFFECT_MS = 400;

/** One client's view of the table. */
export interface FakeTableClient extends TablePort {
    /** Sets what befalls the client's next calls. */
    setFault(fault: TableFault): void;
    /** Delays the client's calls by so many milliseconds. */
    setDelay(delayMs: number): void;
}

/** The table. */
export interface FakeTable {
    readonly rows: ReadonlyMap<string, TableRow>;
    /** Writes of other origin, for tests. */
    writeRow(key: string, value: string): void;
    createClient(clock: Clock): FakeTableClient;
    countCalls(): { readonly reads: number; readonly writes: number };
}

/** Creates an empty table. */
export function createFakeTable(): FakeTable {
    const rows = new Map<string, TableRow>();
    let nextVersion = 1;
    let reads = 0;
    let writes = 0;
    const commit = ({ token, conditions, writes: changes }: TableTransaction): Result<readonly number[], Failure> => {
        const broken = conditions.find(condition => rows.get(condition.key)?.version !== condition.version);
        if (broken !== undefined) {
            return err(createFailure(FailureKind.StoreConflict, `Row ${broken.key} has another version.`));
        }
        return ok(changes.map(({ key, value }) => setRow(key, value, token)));
    };
    const setRow = (key: string, value: string | undefined, token: string): number => {
        const version = nextVersion++;
        if (value === undefined) {
            rows.delete(key);
        } else {
            rows.set(key, { key, value, version, token });
        }
        return version;
    };
    const createClient = (clock: Clock): FakeTableClient => {
        let fault = TableFault.None;
        let delayMs = 0;
        const lost = () => err(createFailure(FailureKind.StoreOutcomeUnknown, "The answer was lost."));
        const faults: Readonly<Record<TableFault, (transaction: TableTransaction) => ReturnType<typeof commit>>> = {
            [TableFault.None]: commit,
            [TableFault.Down]: () => err(createFailure(FailureKind.StoreUnavailable, "down")),
            [TableFault.Silent]: lost,
            [TableFault.AnswerLostAfterEffect]: transaction => {
                commit(transaction);
                return lost();
            },
            [TableFault.AnswerLostBeforeEffect]: transaction => {
                void clock.waitMs(LATE_EFFECT_MS).then(() => commit(transaction));
                return lost();
            },
        };
        const start = async (): Promise<TableFault> => {
            const current = fault;
            if (current === TableFault.Silent) {
                await new Promise(() => undefined);
            }
            if (delayMs > 0) {
                await clock.waitMs(delayMs);
            }
            return current;
        };
        const read = async <T>(find: () => T): Promise<Result<T, Failure>> => {
            reads++;
            return (await start()) === TableFault.Down
                ? err(createFailure(FailureKind.StoreUnavailable, "down"))
                : ok(find());
        };
        return {
            readRow: key => read(() => rows.get(key)),
            listRows: (prefix, options = {}) =>
                read(() =>
                    [...rows.values()]
                        .filter(row => row.key.startsWith(prefix) && row.key > (options.after ?? ""))
                        .sort((left, right) => (left.key < right.key ? -1 : 1))
                        .slice(0, options.limit),
                ),
            commitTransaction: async transaction => {
                writes++;
                return faults[await start()](transaction);
            },
            setFault: next => {
                fault = next;
            },
            setDelay: next => {
                delayMs = next;
            },
        };
    };
    return {
        rows,
        writeRow: (key, value) => void setRow(key, value, "test"),
        createClient,
        countCalls: () => ({ reads, writes }),
    };
}
