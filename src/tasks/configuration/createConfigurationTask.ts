/**
 * @module The task that loads, updates and commits the configuration on this node.
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
import { createPeerSync } from "./_lib/createPeerSync";
import { type ConfigurationHead, loadConfiguration, readChanges, readHead } from "./_lib/readFromStore";
import { POLL_BACKOFF_BASE_MS, POLL_JITTER_FRACTION, POLL_INTERVAL_MS } from "./_lib/constants";
import { waitForRevision } from "./_lib/waitForRevision";
import type { ConfigurationClient } from "./configurationClient";

/** Dependencies of the configuration task. */
export interface ConfigurationTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly clock: Clock;
    readonly random: Random;
    /** Validates a whole configuration before a change to it is committed. Failure: `InvalidConfiguration`. */
    readonly validate: (configuration: Configuration) => Result<unknown, Failure>;
    /** Exchanges committed changes with the other nodes; absent where there is one node only. */
    readonly exchange?: NodeExchange & RevisionExchange;
    readonly reportFailure?: (name: string, failure: Failure) => void;
}

/** The running configuration task. */
export interface ConfigurationTask extends ConfigurationClient, Disposable, DumpSource {
    /**
     * Resolves once this node has loaded the newest revision from the store or, while the store is unavailable, from
     * nodes of several failure domains. The node must not accept requests before that.
     */
    readonly whenReady: Promise<void>;
    /** Returns true once `whenReady` has resolved. */
    isReady(): boolean;
}

enum MessageKind {
    /** Committed changes to apply. */
    Changes = "changes",
    /** A whole configuration, which replaces an older one. */
    Loaded = "loaded",
}

/** A message to the task; `done` is called once it is handled or the task has ended. */
type Message =
    | { readonly kind: MessageKind.Changes; readonly changes: readonly AcceptedChange[]; readonly done: () => void }
    | { readonly kind: MessageKind.Loaded; readonly configuration: Configuration; readonly done: () => void };

/**
 * Starts the configuration task. It loads the configuration, polls the head revision with jitter, applies changes that
 * other nodes push, and commits changes.
 *
 * @param options - The dependencies
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
    let isDisposed = false;
    let isReady = false;
    let lastStoreReadAtMs: number | undefined;
    let resolveReady: () => void;
    const whenReady = new Promise<void>(resolve => {
        resolveReady = resolve;
    });
    const reportFailure = (failure: Failure) => options.reportFailure?.("configuration", failure);

    const setState = (next: AppliedState) => {
        const currentRevision = state.current.revision;
        const nextRevision = next.current.revision;
        assertInvariant(
            nextRevision >= currentRevision,
            Invariant.RevisionNeverFalls,
            `${currentRevision} -> ${nextRevision}`,
        );
        state = nextRevision >= currentRevision ? next : state;
        if (nextRevision > currentRevision) {
            exchange?.publishRevision(nextRevision);
            reportToAll(listeners, state.current);
        }
    };
    const handlers: { readonly [Kind in MessageKind]: (message: Extract<Message, { kind: Kind }>) => void } = {
        [MessageKind.Changes]: message => setState(advanceConfiguration(state, message.changes)),
        [MessageKind.Loaded]: message => setState(replaceConfiguration(state, message.configuration)),
    };
    const handleMessage = (message: Message) => {
        try {
            (handlers[message.kind] as (message: Message) => void)(message);
        } finally {
            message.done();
        }
    };
    const sendToInbox = (build: (done: () => void) => Message) =>
        new Promise<void>(resolve => {
            void sendMessage(inbox, build(resolve)).then(sent => (sent ? undefined : resolve()));
        });
    const applyChanges = (changes: readonly AcceptedChange[]) =>
        sendToInbox(done => ({ kind: MessageKind.Changes, changes, done }));
    const applyLoadedConfiguration = (configuration: Configuration) =>
        sendToInbox(done => ({ kind: MessageKind.Loaded, configuration, done }));
    const setReady = () => {
        isReady = true;
        resolveReady();
    };

    const refreshFromStore = async (): Promise<Result<ConfigurationHead, Failure>> => {
        const head = await readHead(store);
        if (head.isErr()) {
            return err(head.error);
        }
        const appliedRevision = state.current.revision;
        if (head.value.revision > appliedRevision) {
            const changes =
                appliedRevision > 0 ? await readChanges(store, appliedRevision, head.value.revision) : undefined;
            if (changes?.isOk()) {
                await applyChanges(changes.value);
            } else {
                const loaded = await loadConfiguration(store);
                if (loaded.isErr()) {
                    return err(loaded.error);
                }
                await applyLoadedConfiguration(loaded.value);
            }
        }
        lastStoreReadAtMs = clock.readMonotonicMs();
        return ok(head.value);
    };

    const peers = createPeerSync({
        exchange,
        readState: () => state,
        applyChanges,
        applyLoadedConfiguration,
        report: reportFailure,
    });

    const pollStore = async () => {
        for (let failures = 0; !isDisposed;) {
            const refreshed = await refreshFromStore();
            failures = refreshed.isOk() ? 0 : failures + 1;
            if (refreshed.isOk()) {
                setReady();
            } else if (!isReady && (await peers.loadFromPeers())) {
                setReady();
            }
            const delayMs = Math.min(
                POLL_INTERVAL_MS,
                failures === 0 ? POLL_INTERVAL_MS : POLL_BACKOFF_BASE_MS * 2 ** failures,
            );
            await clock.waitMs(
                delayMs * (1 - POLL_JITTER_FRACTION + 2 * POLL_JITTER_FRACTION * options.random.drawFraction()),
            );
        }
    };

    const createConflictFailure = (change: ConfigurationChange): Failure =>
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
            return err(createConflictFailure(change));
        }
        const accepted = { revision: base.revision + 1, items: change.items };
        const validated = options.validate(applyChange(base, accepted));
        if (validated.isErr()) {
            return err(validated.error);
        }
        const committed = await commitToStore(store, head.value, { ...accepted, changeId: ulid() });
        if (committed.isErr()) {
            const isConflict = committed.error.kind === FailureKind.StoreConflict;
            await refreshFromStore();
            return err(isConflict ? createConflictFailure(change) : committed.error);
        }
        peers.pushChange(accepted);
        await applyChanges([accepted]);
        return ok(accepted);
    };

    const unsubscribe = exchange?.subscribeTopic(ExchangeTopic.Configuration, update =>
        peers.receivePushedChange(update.payload),
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
    void pollStore();

    return {
        name: "configuration",
        whenReady,
        isReady: () => isReady,
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
            isReady,
            storeSeenMsAgo: lastStoreReadAtMs === undefined ? undefined : clock.readMonotonicMs() - lastStoreReadAtMs,
        }),
        dispose: () => {
            isDisposed = true;
            unsubscribe?.();
            peers.dispose();
            closeChannel(inbox);
        },
    };
}

/** Calls every listener, also after one has thrown; then throws the first error. */
function reportToAll(listeners: ReadonlySet<(configuration: Configuration) => void>, current: Configuration): void {
    const errors: unknown[] = [];
    for (const listener of [...listeners]) {
        try {
            listener(current);
        } catch (error) {
            errors.push(error);
        }
    }
    if (errors.length > 0) {
        throw errors[0];
    }
}
