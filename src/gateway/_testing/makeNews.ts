/**
 * @module Makes the news of a node without other nodes, for tests.
 */
import { makeFleetUsage } from "../../decisions/gateway/_testing/makeFleetUsage";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import type { FleetNews } from "../news/createFleetNews";

/** Makes news that is loaded, of a node that is its own relay; `changes` replace single functions. */
export function makeNews(changes: Partial<FleetNews> = {}): FleetNews {
    return {
        name: "news",
        dumpState: () => ({}),
        isLoaded: () => true,
        isRelay: () => true,
        isOnlyRelay: () => true,
        isInTouch: () => true,
        readUsage: () => makeFleetUsage(),
        readLoad: () => ({ tokensPerSecond: 0, inFlight: 0 }),
        readRowSources: () => ({ role: RowRole.Reader, nodes: [] }),
        hasUnreachableDomain: () => false,
        listAllRelays: () => [],
        listMembers: () => [],
        listCounts: () => [],
        addMembers: () => undefined,
        addStoredRelays: () => undefined,
        readSuspects: () => ({}),
        addStoredSuspects: () => undefined,
        recordStored: () => undefined,
        dispose: () => undefined,
        ...changes,
    };
}
