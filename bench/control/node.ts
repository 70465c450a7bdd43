/**
 * @module One process of the control bench: a node's links, membership and configuration, and nothing else.
 */
import path from "node:path";
import { ok } from "neverthrow";
import { createHttpTable } from "../../src/adapters/httpTable/createHttpTable";
import { createRandom } from "../../src/base/createRandom";
import { createSystemClock } from "../../src/base/createSystemClock";
import { hashText } from "../../src/base/hashText";
import { ItemKind, ServiceKind } from "../../src/model/configuration";
import type { VmRecord } from "../../src/model/endpoint";
import { createGrpcTransport } from "../../src/nodes/createGrpcTransport";
import { createTlsWatcher } from "../../src/nodes/createTlsWatcher";
import { ExchangeTopic } from "../../src/nodes/nodeExchange";
import type { TablePort } from "../../src/ports/table";
import { createConfigurationTask } from "../../src/tasks/configuration/createConfigurationTask";
import { createMembershipTask } from "../../src/tasks/membership/createMembershipTask";
import type { NodeReport, NodeRequest, NodeSetup } from "./nodeMessages";

const ADDRESS = "127.0.0.1";
const IN_FORCE_TIMEOUT_MS = 30_000;
const UPDATE_BYTES = 200;

await main(JSON.parse(process.argv[2] ?? "{}") as NodeSetup);

async function main(setup: NodeSetup): Promise<void> {
    const { nodeId, region, failureDomain } = setup;
    const clock = createSystemClock();
    const report = (message: NodeReport) => void process.send?.(message);
    const files = {
        certificateFile: path.join(setup.keyFolder, "node.crt"),
        keyFile: path.join(setup.keyFolder, "node.key"),
        authorityFile: path.join(setup.keyFolder, "ca.crt"),
    };
    const tls = await createTlsWatcher(files, { clock });
    const transport = await createGrpcTransport({ address: ADDRESS, port: 0, clock, tls });
    const calls = { reads: 0, writes: 0 };
    const table = countCalls(createHttpTable({ address: ADDRESS, port: setup.platformPort }), calls);
    let vms: readonly VmRecord[] = [];
    const listeners = new Set<(list: readonly VmRecord[]) => void>();
    const membership = createMembershipTask({
        nodeId,
        self: { address: ADDRESS, port: transport.port, region, failureDomain },
        transport,
        clock,
        random: createRandom(hashText(nodeId)),
        directory: {
            listVms: () => vms,
            subscribeChanges: listener => {
                listeners.add(listener);
                return () => void listeners.delete(listener);
            },
        },
    });
    const configuration = createConfigurationTask({
        nodeId,
        table,
        clock,
        random: createRandom(hashText(nodeId, 1)),
        validate: () => ok(undefined),
        exchange: membership,
    });
    configuration.subscribeApplied(({ revision }) =>
        report({ kind: "applied", nodeId, revision, atWallMs: readWallMs() }),
    );
    const commit = async (label: string) => {
        const value = { name: label, kind: ServiceKind.Model, version: label };
        const result = await configuration.commitChange({
            basedOnRevision: configuration.readCurrent().revision,
            items: [{ kind: ItemKind.Service, name: label, value }],
        });
        if (result.isErr()) {
            report({ kind: "refused", reason: result.error.message });
            return;
        }
        const { revision } = result.value;
        report({ kind: "accepted", revision, atWallMs: readWallMs() });
        const { isInForce } = await configuration.waitUntilInForce(revision, IN_FORCE_TIMEOUT_MS);
        report({ kind: "inForce", revision, isInForce, atWallMs: readWallMs() });
    };
    const reportUsage = () => {
        const { user, system } = process.cpuUsage();
        report({
            kind: "usage",
            nodeId,
            usage: {
                liveNodes: membership.listLiveNodeIds().length,
                isReady: configuration.isReady(),
                cpuMs: (user + system) / 1_000,
                residentBytes: process.memoryUsage.rss(),
                traffic: membership.countTraffic(),
                tableReads: calls.reads,
                tableWrites: calls.writes,
            },
        });
    };
    let flooder: NodeJS.Timeout | undefined;
    const flood = (updatesPerSecond: number) => {
        clearInterval(flooder);
        let count = 0;
        if (updatesPerSecond > 0) {
            flooder = setInterval(() => {
                const payload = Buffer.alloc(UPDATE_BYTES, count++);
                membership.publishUpdate(ExchangeTopic.LoadDigest, `runner-${count % updatesPerSecond}`, payload);
            }, 1_000 / updatesPerSecond);
        }
    };
    const handlers: {
        readonly [Kind in NodeRequest["kind"]]: (request: Extract<NodeRequest, { kind: Kind }>) => void;
    } = {
        directory: request => {
            vms = request.vms;
            listeners.forEach(listener => listener(vms));
        },
        commit: request => void commit(request.label),
        flood: request => flood(request.updatesPerSecond),
        usage: reportUsage,
    };
    process.on("message", (request: NodeRequest) =>
        (handlers[request.kind] as (message: NodeRequest) => void)(request),
    );
    process.on("disconnect", () => process.exit(0));
    report({ kind: "listening", port: transport.port });
}

function readWallMs(): number {
    return performance.timeOrigin + performance.now();
}

function countCalls(table: TablePort, calls: { reads: number; writes: number }): TablePort {
    return {
        readRow: key => {
            calls.reads++;
            return table.readRow(key);
        },
        listRows: (prefix, options) => {
            calls.reads++;
            return table.listRows(prefix, options);
        },
        commitTransaction: transaction => {
            calls.writes++;
            return table.commitTransaction(transaction);
        },
    };
}
