/**
 * @module The task that owns this node's configuration.
 */
import { err, ok, type Result } from "neverthrow";
import { ulid } from "ulid";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { closeChannel, createChannel, sendMessage, superviseTask, take } from "../../base/csp";
import type { Random } from "../../base/createRandom";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import {
    advanceConfiguration,
    type AppliedState,
    replaceConfiguration,
} from "../../decisions/configuration/advanceConfiguration";
import { applyChange, findItem } from "../../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../../decisions/configuration/createEmptyConfiguration";
import type { AcceptedChange, Configuration, ConfigurationChange } from "../../model/configuration";
import { ExchangeTopic, type NodeExchange } from "../../nodes/nodeExchange";
import type { RevisionExchange } from "../../nodes/revisionExchange";
import type { TablePort } from "../../ports/table";
import { commitToStore } from "./_lib/commitToStore";
import { createPeerSource } from "./_lib/createPeerSource";
import { type Head, loadConfiguration, readChanges, readHead } from "./_lib/readFromStore";
import { FIRST_RETRY_DELAY_MS, POLL_JITTER, POLL_PERIOD_MS } from "./_lib/constants";
import { waitForRevision } from "./_lib/waitForRevision";
import type { ConfigurationClient } from "./configurationClient";

/** What the configuration task needs. */
export interface ConfigurationTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly clock: Clock;
    readonly random: Random;
    /** Checks a configuration as a whole before a change is accepted. Failure: `InvalidConfiguration`. */
    readonly validate: (configuration: Configuration) => Result<unknown, Failure>;
    /** Carries accepted changes to the other nodes; absent where there is one node only. */
    readonly exchange?: NodeExchange & RevisionExchange;
    readonly reportFailure?: (name: string, failure: Failure) => void;
}

/** The running configuration task. */
export interface ConfigurationTask extends ConfigurationClient, Disposable, DumpSource {
    /**
     * Resolves once this node has the newest revision that the store, or with the store away several nodes of
     * different failure domains, can show. The node must not take work before that.
     */
    readonly whenReady: Promise<void>;
    /** True once `whenReady` has resolved. */
    isReady(): boolean;
}

enum MessageKind {
    Changes = "changes",
    Loaded = "loaded",
}

type Message =
    | { readonly kind: MessageKind.Changes; readonly changes: readonly AcceptedChange[]; readonly done: () => void }
    | { readonly kind: MessageKind.Loaded; readonly configuration: Configuration; readonly done: () => void };

/**
 * Starts the configuration task: it loads the configuration, polls the head revision with jitter, takes in what other
 * nodes push, and commits changes.
 *
 * @param options - Its dependencies
 * @returns The task and its client
 * @example
 * const configuration = createConfigurationTask({ nodeId, table, clock, random, validate });
 * await configuration.whenReady;
 */
export function createConfigurationTask(options: ConfigurationTaskOptions): ConfigurationTask {
    const { clock, table, exchange } = options;
    const store = { table, clock };
    const inbox = createChannel<Message>(64);
    const listeners = new Set<(configuration: Configuration) => void>();
    let state: AppliedState = { current: createEmptyConfiguration(), pending: new Map() };
    let disposed = false;
    let ready = false;
    let storeSeenAtMs: number | undefined;
    let resolveReady: () => void;
    const whenReady = new Promise<void>(resolve => {
        resolveReady = resolve;
    });
    const report = (failure: Failure) => options.reportFailure?.("configuration", failure);

    const setState = (next: AppliedState) => {
        const before = state.current.revision;
        const after = next.current.revision;
        assertInvariant(after >= before, Invariant.RevisionNeverFalls, `${before} -> ${after}`);
        state = after >= before ? next : state;
        if (after > before) {
            exchange?.publishRevision(after);
            [...listeners].forEach(listener => listener(state.current));
        }
    };
    const handlers: { readonly [Kind in MessageKind]: (message: Extract<Message, { kind: Kind }>) => void } = {
        [MessageKind.Changes]: message => setState(advanceConfiguration(state, message.changes)),
        [MessageKind.Loaded]: message => setState(replaceConfiguration(state, message.configuration)),
    };
    const handleMessage = (message: Message) => {
        (handlers[message.kind] as (message: Message) => void)(message);
        message.done();
    };
    const sendToOwner = (build: (done: () => void) => Message) =>
        new Promise<void>(resolve => {
            void sendMessage(inbox, build(resolve)).then(sent => (sent ? undefined : resolve()));
        });
    const takeInChanges = (changes: readonly AcceptedChange[]) =>
        sendToOwner(done => ({ kind: MessageKind.Changes, changes, done }));
    const takeInLoaded = (configuration: Configuration) =>
        sendToOwner(done => ({ kind: MessageKind.Loaded, configuration, done }));
    const becomeReady = () => {
        ready = true;
        resolveReady();
    };

    const refreshFromStore = async (): Promise<Result<Head, Failure>> => {
        const head = await readHead(store);
        if (head.isErr()) {
            return err(head.error);
        }
        const applied = state.current.revision;
        if (head.value.revision > applied) {
            const changes = applied > 0 ? await readChanges(store, applied, head.value.revision) : undefined;
            if (changes?.isOk()) {
                await takeInChanges(changes.value);
            } else {
                const loaded = await loadConfiguration(store);
                if (loaded.isErr()) {
                    return err(loaded.error);
                }
                await takeInLoaded(loaded.value);
            }
        }
        storeSeenAtMs = clock.readMonotonicMs();
        return ok(head.value);
    };

    const peers = createPeerSource({ exchange, readState: () => state, takeInChanges, takeInLoaded, report });

    const runPolls = async () => {
        for (let failures = 0; !disposed;) {
            const refreshed = await refreshFromStore();
            failures = refreshed.isOk() ? 0 : failures + 1;
            if (refreshed.isOk()) {
                becomeReady();
            } else if (!ready && (await peers.loadFromSeveral())) {
                becomeReady();
            }
            const period = Math.min(
                POLL_PERIOD_MS,
                failures === 0 ? POLL_PERIOD_MS : FIRST_RETRY_DELAY_MS * 2 ** failures,
            );
            await clock.waitMs(period * (1 - POLL_JITTER + 2 * POLL_JITTER * options.random.drawFraction()));
        }
    };

    const describeConflict = (change: ConfigurationChange): Failure =>
        createFailure(
            FailureKind.RevisionConflict,
            `The change was based on revision ${change.basedOnRevision}; the newest is ${state.current.revision}.`,
            {
                details: {
                    revision: state.current.revision,
                    items: change.items.map(item => ({ ...item, value: findItem(state.current, item) })),
                },
            },
        );

    const commitChange = async (change: ConfigurationChange): Promise<Result<AcceptedChange, Failure>> => {
        const head = await refreshFromStore();
        if (head.isErr()) {
            return err({ ...head.error, kind: FailureKind.StoreUnavailable });
        }
        const base = state.current;
        if (head.value.revision !== change.basedOnRevision || base.revision !== change.basedOnRevision) {
            return err(describeConflict(change));
        }
        const accepted = { revision: base.revision + 1, items: change.items };
        const valid = options.validate(applyChange(base, accepted));
        if (valid.isErr()) {
            return err(valid.error);
        }
        const committed = await commitToStore(store, head.value, { ...accepted, changeId: ulid() });
        if (committed.isErr()) {
            const isConflict = committed.error.kind === FailureKind.StoreConflict;
            await refreshFromStore();
            return err(isConflict ? describeConflict(change) : committed.error);
        }
        peers.pushChange(accepted);
        await takeInChanges([accepted]);
        return ok(accepted);
    };

    const subscription = exchange?.subscribeTopic(ExchangeTopic.Configuration, update =>
        peers.receivePush(update.payload),
    );
    void superviseTask(
        "configuration",
        function* () {
            for (let message = yield* take(inbox); message !== undefined; message = yield* take(inbox)) {
                handleMessage(message);
            }
        },
        { clock, reportFailure: (name, failure) => options.reportFailure?.(name, failure) },
    );
    void runPolls();

    return {
        name: "configuration",
        whenReady,
        isReady: () => ready,
        readCurrent: () => state.current,
        commitChange,
        subscribeApplied: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        waitUntilInForce: (revision, timeoutMs) =>
            waitForRevision(revision, timeoutMs, {
                clock,
                listRevisions: () =>
                    exchange?.listRevisions() ?? [
                        {
                            nodeId: options.nodeId,
                            revision: state.current.revision,
                            isSuspect: false,
                            region: "",
                            failureDomain: "",
                        },
                    ],
            }),
        dumpState: () => ({
            revision: state.current.revision,
            pending: [...state.pending.keys()],
            isReady: ready,
            storeSeenMsAgo: storeSeenAtMs === undefined ? undefined : clock.readMonotonicMs() - storeSeenAtMs,
        }),
        dispose: () => {
            disposed = true;
            subscription?.();
            peers.dispose();
            closeChannel(inbox);
        },
    };
}
