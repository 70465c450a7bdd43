/**
 * @module Exchanges configuration changes with the other nodes.
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
import { MINIMUM_BOOTSTRAP_DOMAINS, MAXIMUM_CHANGES_PER_RESPONSE, MAXIMUM_PUSHED_CHANGE_BYTES } from "./constants";
import { type ChangesResponse, decodeChange, decodeChanges } from "./rows";

/** Recent changes kept in memory to answer requests of other nodes. */
const MAXIMUM_CACHED_CHANGES = 200;

/** Dependencies of the peer synchronization. */
export interface PeerSyncOptions {
    /** Absent where there is one node only. */
    readonly exchange: (NodeExchange & RevisionExchange) | undefined;
    readonly readState: () => AppliedState;
    /** Applies changes received from other nodes. */
    readonly applyChanges: (changes: readonly AcceptedChange[]) => Promise<void>;
    /** Replaces the configuration by a newer one loaded from another node. */
    readonly applyLoadedConfiguration: (configuration: Configuration) => Promise<void>;
    readonly report: (failure: Failure) => void;
}

/** Sends configuration changes to the other nodes and receives theirs. */
export interface PeerSync extends Disposable {
    /** Pushes a change that the store accepted; other nodes fetch a large one themselves. */
    pushChange(change: AcceptedChange): void;
    /** Decodes and applies a change that another node pushed. */
    receivePushedChange(payload: Uint8Array): void;
    /** Loads the newest revision once enough failure domains report one; false while they don't or if loading fails. */
    loadFromPeers(): Promise<boolean>;
}

/** Creates the peer synchronization; without an exchange it neither sends nor receives anything. */
export function createPeerSync(options: PeerSyncOptions): PeerSync {
    const { exchange } = options;
    const cachedChanges = new Map<number, AcceptedChange>();
    const fetchingNodeIds = new Set<string>();
    const cacheChanges = (changes: readonly AcceptedChange[]) => {
        changes.forEach(change => cachedChanges.set(change.revision, change));
        for (const oldest of [...cachedChanges.keys()].sort((left, right) => left - right)) {
            if (cachedChanges.size <= MAXIMUM_CACHED_CHANGES) {
                break;
            }
            cachedChanges.delete(oldest);
        }
    };
    const fetchFromNode = async (nodeId: string): Promise<void> => {
        if (exchange === undefined || fetchingNodeIds.has(nodeId)) {
            return;
        }
        fetchingNodeIds.add(nodeId);
        const response = await exchange.readPeerChanges(nodeId, options.readState().current.revision);
        fetchingNodeIds.delete(nodeId);
        if (response.isErr()) {
            options.report(response.error);
            return;
        }
        await applyResponse(response.value, options, cacheChanges);
    };
    exchange?.setChangesReader(afterRevision => encodeResponse(options.readState(), cachedChanges, afterRevision));
    const unsubscribeRevisions = exchange?.subscribeRevisions((nodeId, revision) => {
        if (revision > options.readState().current.revision) {
            void fetchFromNode(nodeId);
        }
    });
    return {
        pushChange: change => {
            cacheChanges([change]);
            const payload = Buffer.from(JSON.stringify(change));
            if (payload.length <= MAXIMUM_PUSHED_CHANGE_BYTES) {
                exchange?.publishUpdate(ExchangeTopic.Configuration, String(change.revision), payload);
            }
        },
        receivePushedChange: payload => {
            const change = decodeChange(Buffer.from(payload).toString("utf8"));
            if (change.isErr()) {
                options.report(change.error);
                return;
            }
            cacheChanges([change.value]);
            void options.applyChanges([change.value]);
        },
        loadFromPeers: async () => {
            const bootstrap = chooseBootstrapRevision(exchange?.listRevisions() ?? [], MINIMUM_BOOTSTRAP_DOMAINS);
            for (const nodeId of bootstrap?.nodeIds ?? []) {
                await fetchFromNode(nodeId);
                if (options.readState().current.revision >= (bootstrap?.revision ?? 0)) {
                    return true;
                }
            }
            return false;
        },
        dispose: () => unsubscribeRevisions?.(),
    };
}

function encodeResponse(
    state: AppliedState,
    cachedChanges: ReadonlyMap<number, AcceptedChange>,
    afterRevision: number,
): Uint8Array {
    const { current } = state;
    const missingCount = current.revision - afterRevision;
    if (missingCount <= 0) {
        return new Uint8Array();
    }
    const changes = Array.from({ length: Math.min(missingCount, MAXIMUM_CHANGES_PER_RESPONSE) }, (_unused, index) =>
        cachedChanges.get(afterRevision + 1 + index),
    ).filter(change => change !== undefined);
    const wholeConfiguration = [{ revision: current.revision, items: listItems(current) }];
    const response: ChangesResponse =
        changes.length === missingCount ? { changes, isWhole: false } : { changes: wholeConfiguration, isWhole: true };
    return Buffer.from(JSON.stringify(response));
}

async function applyResponse(
    payload: Uint8Array,
    options: PeerSyncOptions,
    cacheChanges: (changes: readonly AcceptedChange[]) => void,
): Promise<void> {
    if (payload.length === 0) {
        return;
    }
    const response = decodeChanges(Buffer.from(payload).toString("utf8"));
    if (response.isErr()) {
        options.report(response.error);
        return;
    }
    const { changes, isWhole } = response.value;
    const [first] = changes;
    if (isWhole && first !== undefined) {
        await options.applyLoadedConfiguration(applyChange(createEmptyConfiguration(), first));
        return;
    }
    cacheChanges(changes);
    await options.applyChanges(changes);
}
