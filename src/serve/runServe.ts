/**
 * @module `redwinglift serve`: one node as a process.
 */
import { createNodeParts } from "../createNodeParts";
import type { Settings } from "../settings/settings";
import { type RunningNode, wireNode } from "../wire";
import { logStrayErrors } from "./logStrayErrors";
import { writeDumpOnSignal } from "./writeDumpOnSignal";

const DRAIN_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Runs a node until a signal ends it. `SIGTERM` and `SIGINT` drain it; a second one ends it at once. `SIGUSR2` writes a
 * dump of its state to the standard error stream as one line of JSON.
 *
 * @param settings - Its checked settings
 * @returns The exit code: 0 after a complete drain, 1 if requests were still open at its bound
 * @example
 * process.exitCode = await runServe(settings);
 */
export async function runServe(settings: Settings): Promise<number> {
    const parts = createNodeParts(settings);
    const { log } = parts;
    logStrayErrors(log);
    const node = await wireNode(settings, parts);
    writeDumpOnSignal(() => node.dumpState());
    log.info("node started", {
        callerPort: node.callerPort,
        operatorPort: node.operatorPort,
        nodeLinkPort: node.nodeLinkPort,
        version: process.env["REDWINGLIFT_VERSION"] ?? "development",
    });
    void node.whenReady.then(() => log.info("node ready", { revision: node.configuration.readCurrent().revision }));
    const signal = await waitForSignal();
    log.info("node leaving", { signal, drainMs: settings.drainMs });
    const cutRequests = await drainUntilSignal(node, settings.drainMs);
    node.dispose();
    parts.dispose();
    log.info("node ended", { cutRequests });
    return cutRequests === 0 ? 0 : 1;
}

function waitForSignal(): Promise<string> {
    return new Promise(resolve => {
        DRAIN_SIGNALS.forEach(signal => process.once(signal, () => resolve(signal)));
    });
}

function drainUntilSignal(node: RunningNode, boundMs: number): Promise<number> {
    return new Promise(resolve => {
        DRAIN_SIGNALS.forEach(signal => process.once(signal, () => resolve(node.countOpenRequests())));
        void node.drain(boundMs).then(resolve);
    });
}
