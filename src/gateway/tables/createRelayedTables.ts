/**
 * @module Reads watched tables from a relay where there is one, and from the store otherwise.
 */
import { err, ok, type Result } from "neverthrow";
import { createConnectionPool } from "../../adapters/_lib/createConnectionPool";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { sendHttpCall } from "../../adapters/_lib/sendHttpCall";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import { type Failure, FailureKind } from "../../base/failure";
import type { Log } from "../../base/log/log";
import type { Random } from "../../base/random";
import { chooseRowSource, RowRole, STORE_SOURCE } from "../../decisions/relays/chooseRowSource";
import type { NodeIdentity } from "../../decisions/relays/news";
import type { TableRows, WatchedTablePort } from "../../ports/watchedTable";
import type { FleetNews } from "../news/createFleetNews";
import { decodeRowsAnswer, ROWS_PATH } from "./createRowServer";

/** Changes of a table that follow each other within this time are read by one call. */
const GATHER_MS = 200;
/**
 * Rows of another node are not taken if the store was asked for them longer ago than it may delay an answer and this
 * time. Another source is asked then, early enough for the bounds on changes of keys, routes and endpoints.
 */
const AGE_MARGIN_MS = 1_100;
const CONNECT_TIMEOUT_MS = 300;
/** Another node may hold a call for longer than the store, since it answers whenever the store has answered it. */
const EXTRA_WAIT_MS = 400;
/**
 * Age of the known rows at which a node turns to the store, whatever the other nodes do: the waits for several silent
 * nodes, one after the other, would exceed the bounds on changes of endpoints and routes.
 */
const STALE_MS = 2_200;
/** Longest time to read an answer, which may be as long as a whole table. */
const WHOLE_ANSWER_TIMEOUT_MS = 2_000;
/** Added to the time for which another node may hold a call. */
const ANSWER_MARGIN_MS = 300;
/** A node that turns to the store spreads its calls over this time, since others lost the same relay with it. */
const STORE_SPREAD_MS: Readonly<Record<RowRole, number>> = {
    [RowRole.Reader]: 0,
    [RowRole.Relay]: 100,
    [RowRole.Node]: 300,
};

/** Dependencies of the tables. */
export interface RelayedTablesOptions {
    readonly store: WatchedTablePort;
    readonly news: Pick<FleetNews, "isLoaded" | "readRowSources">;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
}

/**
 * Creates the tables.
 *
 * @param options - The store, the relays, and dependencies
 * @returns The tables; their failures are those of the store, and `RelayUnavailable`
 * @example
 * startTableWatch({ table: "op", port: createRelayedTables({ store, news, clock, random, log }), ... });
 */
export function createRelayedTables(options: RelayedTablesOptions): WatchedTablePort & Disposable {
    const { store, news, clock, random, log } = options;
    const pool = createConnectionPool();
    const failedAtMs = new Map<string, number>();
    const storeAnsweredAtMs = new Map<string, number>();
    const newestRevisions = new Map<string, number>();
    /** Monotonic time at which the known rows of a table were current. */
    const currentAtMs = new Map<string, number>();
    let lastSource = STORE_SOURCE;

    const recordSource = (source: string) => {
        if (source !== lastSource) {
            log.info("rows come from another source", { source, before: lastSource });
            lastSource = source;
        }
    };
    const recordCurrent = (table: string, atMs: number) =>
        void currentAtMs.set(table, Math.max(atMs, currentAtMs.get(table) ?? atMs));
    /** Computes for how long the known rows are not stale yet. Before any are known there is nothing to be stale. */
    const computeFreshMs = (table: string) => {
        const atMs = currentAtMs.get(table);
        return atMs === undefined ? STALE_MS : Math.max(0, atMs + STALE_MS - clock.readMonotonicMs());
    };
    const recordFailure = (source: string) => void failedAtMs.set(source, clock.readMonotonicMs());
    const askRelay = async (
        { node, address, port }: NodeIdentity,
        table: string,
        query: Readonly<Record<string, string>>,
        waitMs: number,
    ): Promise<Result<TableRows, Failure>> => {
        const startedAtMs = clock.readMonotonicMs();
        const answerMs = Math.min(waitMs + EXTRA_WAIT_MS, computeFreshMs(table) - ANSWER_MARGIN_MS);
        const heldMs = Math.max(0, Math.min(Number(query["wait"] ?? 0), answerMs));
        const parameters = query["wait"] === undefined ? query : { ...query, wait: String(Math.floor(heldMs)) };
        const outcome = await sendHttpCall(
            { address, port },
            {
                method: "GET",
                path: `${ROWS_PATH}${table}?${new URLSearchParams(parameters)}`,
                omitsRequestId: true,
                timeouts: {
                    connectMs: CONNECT_TIMEOUT_MS,
                    firstByteMs: Math.max(0, answerMs) + ANSWER_MARGIN_MS,
                    wholeMs: WHOLE_ANSWER_TIMEOUT_MS,
                },
            },
            pool,
        );
        const answer =
            outcome.isAnswered && outcome.status === HttpStatus.Ok ? decodeRowsAnswer(outcome.body) : undefined;
        if (answer === undefined || answer.ageMs > waitMs + AGE_MARGIN_MS) {
            recordFailure(node);
            const reason = answer === undefined ? "did not answer" : "lost the store";
            log.debug("rows not relayed", { relay: node, table, reason });
            return err(createFailure(FailureKind.RelayUnavailable, `The relay ${node} ${reason}.`));
        }
        if (answer.isWholeTable && query["since"] !== undefined) {
            return err(createFailure(FailureKind.HistoryLost, `The relay ${node} no longer has the changes.`));
        }
        if (answer.revision < (newestRevisions.get(table) ?? 0)) {
            return err(createFailure(FailureKind.RelayUnavailable, `The relay ${node} has older rows.`));
        }
        newestRevisions.set(table, answer.revision);
        recordCurrent(table, clock.readMonotonicMs() - answer.ageMs);
        return ok({
            rows: answer.rows.map(({ key, value, version }) => ({ key, value, version })),
            revision: answer.revision,
            storeNowMs: answer.storeNowMs,
            isStoreRecovering: answer.isStoreRecovering,
            askedAfterMs: Math.min(answer.heldMs, clock.readMonotonicMs() - startedAtMs) - answer.ageMs,
        });
    };
    const askStore = async (
        table: string,
        ask: () => Promise<Result<TableRows, Failure>>,
        pauseMs: number,
    ): Promise<Result<TableRows, Failure>> => {
        const startedAtMs = clock.readMonotonicMs();
        if (pauseMs > 0) {
            await clock.waitMs(pauseMs);
        }
        const askedAfterMs = clock.readMonotonicMs() - startedAtMs;
        const result = await ask();
        storeAnsweredAtMs.set(table, clock.readMonotonicMs());
        if (result.isErr() && result.error.kind !== FailureKind.HistoryLost) {
            recordFailure(STORE_SOURCE);
        }
        return result.map(rows => {
            recordCurrent(table, startedAtMs + askedAfterMs);
            newestRevisions.set(table, Math.max(rows.revision, newestRevisions.get(table) ?? 0));
            return { ...rows, askedAfterMs };
        });
    };
    const ask = async (
        table: string,
        query: Readonly<Record<string, string>>,
        waitMs: number,
        askStoreDirectly: () => Promise<Result<TableRows, Failure>>,
    ) => {
        const { role, nodes } = news.readRowSources();
        const names = nodes.map(({ node }) => node);
        const areRowsStale = computeFreshMs(table) === 0;
        const source = chooseRowSource({ role, nodes: names, areRowsStale, failedAtMs }, clock.readMonotonicMs());
        if (source === undefined) {
            return err(createFailure(FailureKind.RelayUnavailable, "Every source of rows has just failed."));
        }
        recordSource(source);
        const relay = nodes.find(({ node }) => node === source);
        if (relay !== undefined) {
            return askRelay(relay, table, query, waitMs);
        }
        const sinceAnswerMs = clock.readMonotonicMs() - (storeAnsweredAtMs.get(table) ?? Number.NEGATIVE_INFINITY);
        const spreadMs = news.isLoaded() ? random.drawInteger(0, STORE_SPREAD_MS[role]) : 0;
        return askStore(table, askStoreDirectly, Math.max(spreadMs, GATHER_MS - sinceAnswerMs));
    };
    return {
        readTable: table => ask(table, {}, 0, () => store.readTable(table)),
        waitForChanges: (table, revision, waitMs) => {
            const query = { since: String(revision), wait: String(waitMs === 0 ? 0 : waitMs + EXTRA_WAIT_MS) };
            return ask(table, query, waitMs, () => store.waitForChanges(table, revision, waitMs));
        },
        dispose: () => pool.dispose(),
    };
}
