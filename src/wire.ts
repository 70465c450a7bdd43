/**
 * @module The one module that builds a node from its parts.
 */
import { setInvariantViolationListener } from "./base/assertInvariant";
import { createDisposableStore } from "./base/createDisposableStore";
import type { DisposableStore } from "./base/disposableStore";
import type { DumpSource } from "./base/dump";
import type { Failure } from "./base/failure";
import { Metric } from "./base/metrics/metric";
import { createNodeReadiness, type NodeReadiness } from "./createNodeReadiness";
import { type DrainedParts, drainNode } from "./drainNode";
import { endNode } from "./endNode";
import type { CallerListener, ExchangeSummary } from "./faces/callerListener";
import { createCallerListener } from "./faces/createCallerListener";
import { watchTlsIdentity } from "./http/watchTlsIdentity";
import { createDeferredExchange } from "./nodes/createDeferredExchange";
import { createGrpcTransport } from "./nodes/createGrpcTransport";
import { createTlsWatcher } from "./nodes/createTlsWatcher";
import type { ListenerSupervision } from "./http/retryListening";
import type { NodeParts } from "./nodeParts";
import { createOperatorListener, type OperatorListener } from "./operator/createOperatorListener";
import { collectDump } from "./queries/collectDump";
import { validateConfiguration } from "./queries/validateConfiguration";
import type { Settings } from "./settings/settings";
import { createAdmissionTask } from "./tasks/admission/createAdmissionTask";
import { createClaimTask } from "./tasks/claims/createClaimTask";
import { createGroupCommitTask } from "./tasks/claims/createGroupCommitTask";
import type { ConfigurationTask } from "./tasks/configuration/createConfigurationTask";
import { createConfigurationTask } from "./tasks/configuration/createConfigurationTask";
import { createDirectoryTask } from "./tasks/directory/createDirectoryTask";
import { buildReclaimTerms } from "./tasks/execution/buildReclaimTerms";
import { createExecutionTask, type ExecutionTask } from "./tasks/execution/createExecutionTask";
import { createJobTask, type JobTask } from "./tasks/jobs/createJobTask";
import { createLeaseTask } from "./tasks/leases/createLeaseTask";
import { createMetricsTask } from "./tasks/metrics/createMetricsTask";
import { measureAdmission } from "./tasks/metrics/measureAdmission";
import { measureRouting } from "./tasks/metrics/measureRouting";
import { measureObjects, measureTable } from "./tasks/metrics/measureStore";
import { recordRequest } from "./tasks/metrics/recordRequest";
import { createMembershipTask, type MembershipTask } from "./tasks/membership/createMembershipTask";
import { createRoutingTask } from "./tasks/routing/createRoutingTask";
import { createVersionTask } from "./tasks/versions/createVersionTask";

/** A running node. */
export interface RunningNode {
    readonly nodeId: string;
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly nodeLinkPort: number;
    readonly configuration: ConfigurationTask;
    readonly membership: MembershipTask;
    readonly execution: ExecutionTask;
    /** Resolves once the node may be given callers. */
    readonly whenReady: Promise<void>;
    /** Collects the state of every task. */
    dumpState(): unknown;
    countOpenRequests(): number;
    /**
     * Leaves: tells balancer and nodes, hands jobs on, refuses new requests after a moment and finishes those in
     * progress. What has no answer shortly before the bound is ended with a failure. Resolves with the number of
     * requests that its bound cut.
     */
    drain(boundMs: number): Promise<number>;
    /**
     * Ends what is in progress with failures, at any time, also during a drain. Resolves with the number of requests that
     * it cut.
     */
    end(timeoutMs: number): Promise<number>;
    /** Stops at once; what is in progress is cut. */
    dispose(): void;
}

interface Work {
    readonly execution: ExecutionTask;
    readonly jobs: JobTask;
    readonly dumpSources: readonly DumpSource[];
}

interface Agreement {
    readonly configuration: ConfigurationTask;
    readonly membership: MembershipTask;
    readonly directory: ReturnType<typeof createDirectoryTask>;
    readonly leases: ReturnType<typeof createLeaseTask>;
    readonly nodeLinkPort: number;
    readonly readiness: NodeReadiness;
}

/** How a node starts. */
export interface NodeStartOptions {
    /** How long each address is tried; default: once. */
    readonly listenLimitMs?: number;
    /** Ends the start when it is aborted. */
    readonly signal?: AbortSignal;
}

interface Wiring {
    readonly settings: Settings;
    readonly parts: NodeParts;
    readonly supervision: ListenerSupervision;
    readonly owned: DisposableStore;
    readonly reportFailure: (name: string, failure: Failure) => void;
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}

/**
 * Builds and starts a node.
 *
 * @param settings - Its checked settings
 * @param parts - The outside
 * @param options - How long its addresses are tried
 * @returns The running node; rejects if an address can't be listened on or a key can't be used
 * @example
 * const node = await wireNode(settings, createNodeParts(settings));
 * await node.whenReady;
 */
export async function wireNode(
    settings: Settings,
    parts: NodeParts,
    options: NodeStartOptions = {},
): Promise<RunningNode> {
    const { metrics, clock } = parts;
    const table = measureTable(parts.table, metrics, clock);
    const objects = measureObjects(parts.objects, metrics, clock);
    const wiring = createWiring(settings, { ...parts, table, objects }, options);
    try {
        return await wireTasks(wiring);
    } catch (error) {
        wiring.owned.dispose();
        throw error;
    }
}

async function wireTasks(wiring: Wiring): Promise<RunningNode> {
    const { settings, parts, owned } = wiring;
    const agreement = await wireAgreement(wiring);
    const work = wireWork(wiring, agreement);
    const callers = await wireCallers(wiring, agreement, work);
    const dumpSources: readonly DumpSource[] = [
        agreement.configuration,
        agreement.membership,
        agreement.directory,
        agreement.leases,
        ...work.dumpSources,
        callers,
    ];
    const operators = await wireOperators(wiring, agreement, work, dumpSources);
    agreement.readiness.finishStart();
    owned.add(
        createMetricsTask({
            metrics: parts.metrics,
            clock: parts.clock,
            configuration: agreement.configuration,
            directory: agreement.directory,
            nodes: agreement.membership,
            countOpenRequests: callers.countOpenRequests,
            countSentBytes: () => agreement.membership.countTraffic().sentBytes,
            reportFailure: wiring.reportFailure,
        }),
    );
    const drained: DrainedParts = { clock: parts.clock, membership: agreement.membership, ...work, callers, operators };
    return {
        nodeId: settings.nodeId,
        callerPort: callers.port,
        operatorPort: operators.port,
        nodeLinkPort: agreement.nodeLinkPort,
        configuration: agreement.configuration,
        membership: agreement.membership,
        execution: work.execution,
        whenReady: agreement.readiness.whenReady,
        dumpState: () =>
            collectDump({ node: describeNode(settings), clock: parts.clock, listDumpSources: () => dumpSources }),
        countOpenRequests: () => callers.countOpenRequests(),
        drain: boundMs => drainNode(drained, boundMs),
        end: timeoutMs => endNode(drained, timeoutMs),
        dispose: () => owned.dispose(),
    };
}

function createWiring(settings: Settings, parts: NodeParts, options: NodeStartOptions): Wiring {
    const { clock, log, metrics } = parts;
    const { listenLimitMs: limitMs = 0, signal = new AbortController().signal } = options;
    setInvariantViolationListener((invariant, detail) => {
        log.error("an invariant does not hold", { invariant, detail });
        metrics.count(Metric.InvariantViolations, { invariant });
    });
    return {
        settings,
        parts,
        supervision: { clock, log, limitMs, signal },
        owned: createDisposableStore({ reportError: error => log.error("closing failed", { reason: String(error) }) }),
        reportFailure: (task, failure) => {
            log.warn("a task reports a failure", { task, kind: failure.kind, reason: failure.message });
            metrics.count(Metric.TaskFailures, { task });
        },
        reportEvent: (name, details) => log.debug(name, { details: JSON.stringify(details) }),
    };
}

async function wireAgreement(wiring: Wiring): Promise<Agreement> {
    const { settings, parts, owned, reportFailure } = wiring;
    const { clock, random } = parts;
    const { nodeId, region, failureDomain } = settings;
    const { tls } = settings.nodeLink;
    const watchOptions = { clock, reportFailure: (failure: Failure) => reportFailure("node-keys", failure) };
    const transport = owned.add(
        await createGrpcTransport({
            address: settings.nodeLink.address,
            port: settings.nodeLink.port,
            clock,
            supervision: wiring.supervision,
            tls: tls && owned.add(await createTlsWatcher(tls, watchOptions)),
            // The settings have refused plain links beyond loopback unless the operator allowed them.
            allowsPlain: true,
        }),
    );
    const exchange = createDeferredExchange(nodeId);
    const { vmList, cloud } = parts;
    const directory = owned.add(createDirectoryTask({ clock, random, vmList, cloud, exchange, reportFailure }));
    const membership = owned.add(
        createMembershipTask({
            nodeId,
            self: { address: settings.nodeLink.address, port: transport.port, region, failureDomain },
            transport,
            clock,
            random,
            directory,
            reportFailure,
        }),
    );
    exchange.setTarget(membership);
    const configuration = owned.add(
        createConfigurationTask({
            nodeId,
            table: parts.table,
            clock,
            random,
            validate: validateConfiguration,
            exchange: membership,
            reportFailure,
        }),
    );
    const leases = owned.add(createLeaseTask({ nodeId, table: parts.table, clock }));
    const readiness = createNodeReadiness({ configuration, directory });
    return { configuration, membership, directory, leases, nodeLinkPort: transport.port, readiness };
}

function wireWork(wiring: Wiring, agreement: Agreement): Work {
    const { settings, parts, owned, reportFailure, reportEvent } = wiring;
    const { clock, random, table, objects, metrics } = parts;
    const { nodeId } = settings;
    const { configuration, membership, directory, leases } = agreement;
    const versions = owned.add(
        createVersionTask({
            nodeId,
            clock,
            configuration,
            directory,
            exchange: membership,
            leases,
            metrics,
            reportFailure,
            reportEvent,
        }),
    );
    const routing = owned.add(
        createRoutingTask({
            clock,
            random,
            nodeId,
            placement: { region: settings.region, failureDomain: settings.failureDomain },
            configuration,
            directory,
            exchange: membership,
            modelRunners: parts.modelRunners,
            applicationRunners: parts.applicationRunners,
            cloud: parts.cloud,
            isBraked: versions.isBraked,
            reportFailure,
        }),
    );
    owned.add({ dispose: routing.subscribeReports(versions.observeReport) });
    const admission = owned.add(createAdmissionTask({ clock, configuration, capacity: routing, reportFailure }));
    const commits = owned.add(createGroupCommitTask({ table, clock }));
    const claims = createClaimTask({ nodeId, table, objects, commits, clock });
    const execution = createExecutionTask({
        admission: measureAdmission(admission, metrics, clock),
        routing: measureRouting(routing, metrics, clock),
        models: parts.modelRunners,
        applications: parts.applicationRunners,
        clock,
        claims,
        metrics,
        reportEvent,
        readReclaimTerms: serviceName =>
            buildReclaimTerms(
                routing.readCapacity(serviceName, Number.POSITIVE_INFINITY),
                membership.listLiveNodeIds().length,
            ),
    });
    const jobs = owned.add(
        createJobTask({
            nodeId,
            table,
            objects,
            commits,
            leases,
            execution,
            clock,
            random,
            listLiveNodeIds: () => membership.listLiveNodeIds(),
            reportEvent,
            metrics,
        }),
    );
    return { execution, jobs, dumpSources: [versions, routing, admission, commits, claims, execution, jobs] };
}

async function wireCallers(wiring: Wiring, agreement: Agreement, work: Work): Promise<CallerListener> {
    const { settings, parts, owned, reportFailure } = wiring;
    const { clock } = parts;
    const { address, port, tls } = settings.callers;
    const reportKeys = (failure: Failure) => reportFailure("caller-keys", failure);
    const identity = await watchTlsIdentity(tls, { clock, owned, reportFailure: reportKeys });
    const listener = owned.add(
        await createCallerListener(
            { clock, configuration: agreement.configuration, execution: work.execution, jobs: work.jobs },
            {
                address,
                port,
                supervision: wiring.supervision,
                identity: identity.first,
                limits: settings.callerLimits,
                isReady: agreement.readiness.isReady,
                reportEnd: summary => recordExchange(parts, summary),
                reportLimit: outcome => parts.metrics.count(Metric.ListenerLimits, { operation: "callers", outcome }),
            },
        ),
    );
    identity.attach(listener);
    return listener;
}

async function wireOperators(
    wiring: Wiring,
    agreement: Agreement,
    work: Work,
    dumpSources: readonly DumpSource[],
): Promise<OperatorListener> {
    const { settings, parts, owned, reportFailure } = wiring;
    const { clock, log, metrics } = parts;
    const { operatorKeyHashes: keyHashes } = settings;
    const { address, port, tls } = settings.operators;
    const reportKeys = (failure: Failure) => reportFailure("operator-keys", failure);
    const identity = await watchTlsIdentity(tls, { clock, owned, reportFailure: reportKeys });
    const listener = owned.add(
        await createOperatorListener(
            {
                clock,
                node: describeNode(settings),
                isReady: agreement.readiness.isReady,
                configuration: agreement.configuration,
                directory: agreement.directory,
                nodes: agreement.membership,
                jobs: work.jobs,
                listDumpSources: () => dumpSources,
            },
            { address, port, supervision: wiring.supervision, identity: identity.first, keyHashes, log, metrics },
        ),
    );
    identity.attach(listener);
    return listener;
}

function describeNode(settings: Settings) {
    const { nodeId, vmId, region, failureDomain } = settings;
    return { nodeId, vmId, region, failureDomain, programVersion: process.env["REDWINGLIFT_VERSION"] ?? "development" };
}

function recordExchange(parts: NodeParts, summary: ExchangeSummary): void {
    const outcome = summary.failure?.kind ?? "ok";
    recordRequest(parts.metrics, summary);
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
