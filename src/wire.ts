/**
 * @module The one module that builds a node from its parts.
 */
import fs from "node:fs";
import { err, ok } from "neverthrow";
import { setBreachListener } from "./base/assertInvariant";
import { createDisposableStore } from "./base/createDisposableStore";
import { createFailure } from "./base/createFailure";
import type { DumpSource } from "./base/dump";
import { type Failure, FailureKind } from "./base/failure";
import { Metric } from "./base/metrics/metric";
import type { ExchangeSummary } from "./faces/callerListener";
import { createCallerListener } from "./faces/createCallerListener";
import type { NodeExchange } from "./nodes/nodeExchange";
import type { NodeParts } from "./nodeParts";
import { validateConfiguration } from "./queries/validateConfiguration";
import type { ListenerSettings, Settings } from "./settings/settings";
import { createAdmissionTask } from "./tasks/admission/createAdmissionTask";
import { createConfigurationTask } from "./tasks/configuration/createConfigurationTask";
import type { ConfigurationClient } from "./tasks/configuration/configurationClient";
import { createDirectoryTask } from "./tasks/directory/createDirectoryTask";
import { createExecutionTask } from "./tasks/execution/createExecutionTask";
import { describePrompt } from "./tasks/execution/describePrompt";
import type { JobClient } from "./tasks/jobs/jobClient";
import { createRoutingTask } from "./tasks/routing/createRoutingTask";

/** A running node. */
export interface RunningNode {
    readonly nodeId: string;
    readonly callerPort: number;
    readonly nodeLinkPort: number;
    readonly configuration: ConfigurationClient;
    readonly dumpSources: readonly DumpSource[];
    /** Resolves once the node may be given callers. */
    readonly whenReady: Promise<void>;
    /** Stops at once; what is in progress is cut. */
    dispose(): void;
}

/**
 * Builds and starts a node.
 *
 * @param settings - Its checked settings
 * @param parts - The outside
 * @returns The running node; rejects if an address can't be listened on
 * @example
 * const node = await wireNode(settings, createNodeParts(settings));
 * await node.whenReady;
 */
export async function wireNode(settings: Settings, parts: NodeParts): Promise<RunningNode> {
    const { clock, random, log, metrics } = parts;
    const owned = createDisposableStore({
        reportError: error => log.error("closing failed", { reason: String(error) }),
    });
    const reportFailure = (name: string, failure: Failure) => {
        log.warn("a task failed or was refused", { task: name, kind: failure.kind, reason: failure.message });
    };
    setBreachListener((invariant, detail) => {
        log.error("an invariant does not hold", { invariant, detail });
        metrics.count(Metric.InvariantBreaches, { invariant });
    });
    const exchange = createAloneExchange(settings.nodeId);
    const placement = { region: settings.region, failureDomain: settings.failureDomain };

    const configuration = owned.add(
        createConfigurationTask({
            nodeId: settings.nodeId,
            table: parts.table,
            clock,
            random,
            validate: validateConfiguration,
            reportFailure,
        }),
    );
    const directory = owned.add(
        createDirectoryTask({ clock, random, vmList: parts.vmList, cloud: parts.cloud, exchange, reportFailure }),
    );
    const routing = owned.add(
        createRoutingTask({
            clock,
            random,
            nodeId: settings.nodeId,
            placement,
            configuration,
            directory,
            exchange,
            modelRunners: parts.modelRunners,
            applicationRunners: parts.applicationRunners,
            cloud: parts.cloud,
            isBraked: () => false,
            reportFailure,
        }),
    );
    const admission = owned.add(createAdmissionTask({ clock, configuration, capacity: routing, reportFailure }));
    const execution = createExecutionTask({
        admission,
        routing,
        models: parts.modelRunners,
        applications: parts.applicationRunners,
        clock,
        describePrompt,
        reportEvent: (name, details) => log.debug(name, { details: JSON.stringify(details) }),
    });
    const callers = owned.add(
        await createCallerListener(
            { clock, configuration, execution, jobs: createRefusingJobs() },
            {
                address: settings.callers.address,
                port: settings.callers.port,
                identity: readIdentity(settings.callers),
                limits: settings.callerLimits,
                isReady: () => configuration.isReady(),
                reportEnd: summary => recordExchange(parts, summary),
            },
        ),
    );
    return {
        nodeId: settings.nodeId,
        callerPort: callers.port,
        nodeLinkPort: 0,
        configuration,
        dumpSources: [configuration, directory, routing, admission, callers],
        whenReady: configuration.whenReady,
        dispose: () => owned.dispose(),
    };
}

function createAloneExchange(nodeId: string): NodeExchange {
    return {
        publishUpdate: () => undefined,
        subscribeTopic: () => () => undefined,
        listLiveNodeIds: () => [nodeId],
    };
}

function createRefusingJobs(): JobClient {
    const failure = createFailure(FailureKind.StoreUnavailable, "Jobs are not served yet.");
    const refuse = () => Promise.resolve(err(failure));
    return { submitJob: refuse, readJob: refuse, listJobs: () => Promise.resolve(ok([])), cancelJob: refuse };
}

function readIdentity(listener: ListenerSettings) {
    return listener.tls === undefined
        ? undefined
        : {
              key: fs.readFileSync(listener.tls.keyFile, "utf8"),
              certificate: fs.readFileSync(listener.tls.certificateFile, "utf8"),
          };
}

function recordExchange(parts: NodeParts, summary: ExchangeSummary): void {
    const outcome = summary.failure?.kind ?? "ok";
    parts.metrics.count(Metric.RequestsFinished, { class: summary.className, outcome, account: summary.accountName });
    parts.log.info("request finished", {
        requestId: summary.requestId,
        method: summary.method,
        path: summary.path,
        account: summary.accountName,
        class: summary.className,
        status: summary.status,
        outcome,
        execution: summary.failure?.execution,
        durationMs: Math.round(summary.durationMs),
        outputTokens: summary.outputTokens,
    });
}
