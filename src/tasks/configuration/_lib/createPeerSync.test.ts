import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ok } from "neverthrow";
import type { Failure } from "../../../base/failure";
import { createEmptyConfiguration } from "../../../decisions/configuration/createEmptyConfiguration";
import type { Configuration } from "../../../model/configuration";
import { createPeerSync, type PeerSyncOptions } from "./createPeerSync";

const WHOLE = { changes: [{ revision: 2, items: [] }], isWhole: true };

const MALFORMED = ["{", "[]", "7", '{"changes":7}', '{"changes":[{"revision":"2","items":[]}],"isWhole":true}'];

/** Creates the synchronization of a node whose peers send these texts. */
function createPeers(texts: readonly string[]) {
    const failures: Failure[] = [];
    const state = { current: createEmptyConfiguration(), pending: new Map() };
    const peers = texts.map((text, index) => ({ nodeId: `node-${index}`, text }));
    const exchange = {
        listRevisions: () =>
            peers.map(({ nodeId }) => ({
                nodeId,
                revision: 2,
                isSuspect: false,
                region: "north",
                failureDomain: nodeId,
            })),
        readPeerChanges: (nodeId: string) =>
            Promise.resolve(ok(Buffer.from(peers.find(peer => peer.nodeId === nodeId)?.text ?? ""))),
        setChangesReader: () => undefined,
        subscribeRevisions: () => () => undefined,
    };
    const sync = createPeerSync({
        exchange: exchange as unknown as PeerSyncOptions["exchange"],
        readState: () => state,
        applyChanges: () => Promise.resolve(),
        applyLoadedConfiguration: (configuration: Configuration) => {
            state.current = configuration;
            return Promise.resolve();
        },
        report: failure => failures.push(failure),
    });
    return { sync, failures };
}

// Guards against a node that never becomes ready because one peer answered with something malformed.
describe("loading the configuration from peers", () => {
    for (const text of MALFORMED) {
        it(`reports the malformed answer ${text} and asks the next peer`, async () => {
            const { sync, failures } = createPeers([text, text, JSON.stringify(WHOLE)]);
            assert.equal(await sync.loadFromPeers(), true);
            assert.equal(failures.length, 2);
        });
    }
});
