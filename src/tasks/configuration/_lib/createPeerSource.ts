/**
 * @module What the configuration task gives to and takes from other nodes.
 */
import type { Disposable } from "../../../base/disposableStore";
import type { Failure } from "../../../base/failure";
import type { AppliedState } from "../../../decisions/configuration/advanceConfiguration";
import { applyChange, listItems } from "../../../decisions/configuration/applyChange";
import { chooseBootstrapRevision } from "../../../decisions/configuration/chooseBootstrapRevision";
import { createEmptyConfiguration } from "../../../decisions/configuration/createEmptyConfiguration";
import type { AcceptedChange, Configuration } from "../../../model/configuration";
import { ExchangeTopic, type NodeExchange } from "../../../nodes/nodeExchange";
import type { RevisionExchange } from "../../../nodes/revisionExchange";
import { BOOTSTRAP_DOMAINS, CHANGES_PER_ANSWER, PUSHED_CHANGE_MAX_BYTES } from "./constants";
import { decodeChange } from "./rows";

const CHANGES_REMEMBERED = 200;

/** What the source needs. */
export interface PeerSourceOptions {
    readonly exchange: (NodeExchange & RevisionExchange) | undefined;
    readonly readState: () => AppliedState;
    readonly takeInChanges: (changes: readonly AcceptedChange[]) => Promise<void>;
    readonly takeInLoaded: (configuration: Configuration) => Promise<void>;
    readonly report: (failure: Failure) => void;
}

/** The other nodes as a source and sink of changes. */
export interface PeerSource extends Disposable {
    /** Pushes an accepted change; a large one is left for the receivers to fetch. */
    pushChange(change: AcceptedChange): void;
    /** Takes in a pushed change. */
    receivePush(payload: Uint8Array): void;
    /** Loads the newest revision that several failure domains show; false while there is none. */
    loadFromSeveral(): Promise<boolean>;
}

/** An answer to a node that asked for changes: single changes, or a whole configuration as one change. */
interface ChangesAnswer {
    readonly changes: readonly AcceptedChange[];
    readonly isWhole: boolean;
}

/** Creates the source; without an exchange it never gives anything. */
export function createPeerSource(options: PeerSourceOptions): PeerSource {
    const { exchange } = options;
    const remembered = new Map<number, AcceptedChange>();
    const fetching = new Set<string>();
    const remember = (changes: readonly AcceptedChange[]) => {
        changes.forEach(change => remembered.set(change.revision, change));
        for (const oldest of [...remembered.keys()].sort((left, right) => left - right)) {
            if (remembered.size <= CHANGES_REMEMBERED) {
                break;
            }
            remembered.delete(oldest);
        }
    };
    const fetchFrom = async (nodeId: string): Promise<void> => {
        if (exchange === undefined || fetching.has(nodeId)) {
            return;
        }
        fetching.add(nodeId);
        const answer = await exchange.readPeerChanges(nodeId, options.readState().current.revision);
        fetching.delete(nodeId);
        if (answer.isErr()) {
            options.report(answer.error);
            return;
        }
        await takeInAnswer(answer.value, options, remember);
    };
    exchange?.setChangesReader(afterRevision => encodeAnswer(options.readState(), remembered, afterRevision));
    const endRevisions = exchange?.subscribeRevisions((nodeId, revision) => {
        if (revision > options.readState().current.revision) {
            void fetchFrom(nodeId);
        }
    });
    return {
        pushChange: change => {
            remember([change]);
            const payload = Buffer.from(JSON.stringify(change));
            if (payload.length <= PUSHED_CHANGE_MAX_BYTES) {
                exchange?.publishUpdate(ExchangeTopic.Configuration, String(change.revision), payload);
            }
        },
        receivePush: payload => {
            const change = decodeChange(Buffer.from(payload).toString("utf8"));
            if (change.isErr()) {
                options.report(change.error);
                return;
            }
            remember([change.value]);
            void options.takeInChanges([change.value]);
        },
        loadFromSeveral: async () => {
            const wanted = chooseBootstrapRevision(exchange?.listRevisions() ?? [], BOOTSTRAP_DOMAINS);
            for (const nodeId of wanted?.nodeIds ?? []) {
                await fetchFrom(nodeId);
                if (options.readState().current.revision >= (wanted?.revision ?? 0)) {
                    return true;
                }
            }
            return false;
        },
        dispose: () => endRevisions?.(),
    };
}

function encodeAnswer(
    state: AppliedState,
    remembered: ReadonlyMap<number, AcceptedChange>,
    afterRevision: number,
): Uint8Array {
    const { current } = state;
    const missing = current.revision - afterRevision;
    if (missing <= 0) {
        return new Uint8Array();
    }
    const changes = Array.from({ length: Math.min(missing, CHANGES_PER_ANSWER) }, (_unused, index) =>
        remembered.get(afterRevision + 1 + index),
    ).filter(change => change !== undefined);
    const whole = [{ revision: current.revision, items: listItems(current) }];
    const answer: ChangesAnswer =
        changes.length === missing ? { changes, isWhole: false } : { changes: whole, isWhole: true };
    return Buffer.from(JSON.stringify(answer));
}

async function takeInAnswer(
    payload: Uint8Array,
    options: PeerSourceOptions,
    remember: (changes: readonly AcceptedChange[]) => void,
): Promise<void> {
    if (payload.length === 0) {
        return;
    }
    const answer = JSON.parse(Buffer.from(payload).toString("utf8")) as ChangesAnswer;
    const [first] = answer.changes;
    if (answer.isWhole && first !== undefined) {
        await options.takeInLoaded(applyChange(createEmptyConfiguration(), first));
        return;
    }
    remember(answer.changes);
    await options.takeInChanges(answer.changes);
}
