/**
 * @module Small stand-ins for the handles of the operators' listener.
 */
import { createHash } from "node:crypto";
import { err, ok } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { FailureKind } from "../../base/failure";
import { createLog } from "../../base/log/createLog";
import { LogFormat, LogLevel } from "../../base/log/log";
import { createMetrics } from "../../base/metrics/createMetrics";
import { applyChange, findItem } from "../../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../../decisions/configuration/createEmptyConfiguration";
import { PlanFinding } from "../../decisions/fleet/fleetPlan";
import type { Configuration } from "../../model/configuration";
import { VmRole, VmState } from "../../model/endpoint";
import { validateConfiguration } from "../../queries/validateConfiguration";
import type { ConfigurationClient } from "../../tasks/configuration/configurationClient";
import type { FleetPlanView } from "../../tasks/fleet/fleetClient";
import { JobState, type JobView } from "../../tasks/jobs/jobClient";
import type { OperatorListenerOptions } from "../createOperatorListener";
import type { OperatorDependencies } from "../operatorDependencies";

/** The operator key that the fakes accept. */
export const OPERATOR_KEY = "rwl_operator-key-for-tests";

/** What tests need beside the dependencies. */
export interface OperatorFakes {
    readonly dependencies: OperatorDependencies;
    readonly options: OperatorListenerOptions;
    readonly logLines: string[];
    readonly configuration: ConfigurationClient;
}

const JOB: JobView = {
    jobId: "job-1",
    accountName: "depot",
    className: "digest",
    model: "assistant",
    state: JobState.Running,
    acceptedAtWallMs: 1_700_000_000_000,
    deadlineWallMs: 1_700_000_060_000,
};

/**
 * Creates handles that keep everything in memory.
 *
 * @returns The dependencies and options of a listener on a port that the system chooses
 * @example
 * const { dependencies, options } = createOperatorFakes();
 */
export function createOperatorFakes(): OperatorFakes {
    const logLines: string[] = [];
    const configuration = createMemoryConfiguration();
    const dependencies: OperatorDependencies = {
        clock: createManualClock(),
        node: { nodeId: "node-1", vmId: "vm-1", region: "hobart", failureDomain: "hobart-1", programVersion: "1.2.3" },
        isReady: () => true,
        configuration,
        directory: { listVms: () => [VM], subscribeChanges: () => () => undefined },
        nodes: {
            listRevisions: () => [
                {
                    nodeId: "node-1",
                    region: "hobart",
                    failureDomain: "hobart-1",
                    revision: configuration.readCurrent().revision,
                    isSuspect: false,
                },
            ],
        },
        jobs: createMemoryJobs(),
        fleet: { readPlan: () => Promise.resolve(ok(PLAN)) },
        listDumpSources: () => [
            { name: "routing", dumpState: () => ({ open: 3, apiKey: "rwl_hidden-key", body: "a letter" }) },
            {
                name: "broken",
                dumpState: () => {
                    throw new Error("no state yet");
                },
            },
        ],
    };
    const log = createLog({ level: LogLevel.Debug, format: LogFormat.Json, write: line => logLines.push(line) });
    const keyHashes = ["00".repeat(32), createHash("sha256").update(OPERATOR_KEY).digest("hex")];
    const options = { address: "127.0.0.1", port: 0, keyHashes, log, metrics: createMetrics({}) };
    return { dependencies, options, logLines, configuration };
}

const VM = {
    vmId: "vm-7",
    role: VmRole.ModelRunner,
    address: "127.0.0.1",
    port: 9,
    region: "hobart",
    failureDomain: "hobart-1",
    state: VmState.Leaving,
    machineClass: "gpu-a",
    isReclaimable: true,
    serviceName: "assistant",
    version: "v1",
    incarnation: 1,
};

function createMemoryConfiguration(): ConfigurationClient {
    let current: Configuration = createEmptyConfiguration();
    return {
        readCurrent: () => current,
        subscribeApplied: () => () => undefined,
        waitUntilInForce: revision =>
            Promise.resolve({
                revision,
                isInForce: revision <= current.revision,
                nodeCount: 1,
                lacking:
                    revision <= current.revision
                        ? []
                        : [{ nodeId: "node-1", revision: current.revision, isSuspect: false }],
            }),
        commitChange: change => {
            if (change.basedOnRevision !== current.revision) {
                const items = change.items.map(item => ({ ...item, value: findItem(current, item) }));
                const details = { revision: current.revision, items };
                const message = `The change was based on revision ${change.basedOnRevision}.`;
                return Promise.resolve(err(createFailure(FailureKind.RevisionConflict, message, { details })));
            }
            const accepted = { revision: current.revision + 1, items: change.items };
            const valid = validateConfiguration(applyChange(current, accepted));
            current = valid.unwrapOr(current);
            return Promise.resolve(valid.map(() => accepted));
        },
    };
}

const PLAN: FleetPlanView = {
    plannedAtWallMs: 1_700_000_000_000,
    nodeId: "node-1",
    microsPerHour: 2_000,
    refused: [{ offerId: "burnie/gpu-a/reclaimable", untilWallMs: 1_700_000_030_000 }],
    recentPeaks: { assistant: 320 },
    services: [
        {
            serviceName: "assistant",
            version: "v1",
            unitsPerSecond: 368,
            demandReason: "320 a second seen lately, 15% headroom",
            microsPerHour: 2_000,
            onDemandMicrosPerHour: undefined,
            unitsAfterLoss: 200,
            findings: [PlanFinding.NotCovered],
            groups: [
                {
                    serviceName: "assistant",
                    version: "v1",
                    region: "south",
                    failureDomain: "hobart",
                    machineClass: "gpu-a",
                    isReclaimable: true,
                    role: VmRole.ModelRunner,
                    count: 2,
                    unitsPerVm: 100,
                    microsPerHour: 1_000,
                    reason: "cheapest per unit in hobart",
                },
            ],
        },
    ],
};

function createMemoryJobs(): OperatorDependencies["jobs"] {
    let job = JOB;
    const find = (accountName: string, jobId: string) =>
        accountName === job.accountName && jobId === job.jobId
            ? ok(job)
            : err(createFailure(FailureKind.NotFound, "There is no such job."));
    return {
        readJob: (accountName, jobId) => Promise.resolve(find(accountName, jobId)),
        listJobs: accountName => Promise.resolve(ok(accountName === job.accountName ? [job] : [])),
        cancelJob: (accountName, jobId) => {
            const found = find(accountName, jobId);
            job = found.isOk() ? { ...job, state: JobState.Cancelled } : job;
            return Promise.resolve(find(accountName, jobId));
        },
    };
}
