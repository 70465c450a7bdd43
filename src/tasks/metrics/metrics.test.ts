import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { createChannel } from "../../base/csp";
import { FailureKind } from "../../base/failure";
import { createEmptyConfiguration } from "../../decisions/configuration/createEmptyConfiguration";
import { type Configuration, MoveState, ServiceKind } from "../../model/configuration";
import { type Endpoint, type VmRecord, VmRole, VmState } from "../../model/endpoint";
import type { RequestContext } from "../../model/request";
import type { TablePort } from "../../ports/table";
import type { AdmissionClient } from "../admission/admissionClient";
import type { ConfigurationClient } from "../configuration/configurationClient";
import { AttemptReportKind, type RouteQuery, type RoutingClient } from "../routing/routingClient";
import { createMetricsRecorder } from "./_testing/createMetricsRecorder";
import { createMetricsTask } from "./createMetricsTask";
import { measureAdmission } from "./measureAdmission";
import { measureRouting } from "./measureRouting";
import { measureTable } from "./measureStore";
import { recordRequest } from "./recordRequest";

const PLACE = { region: "hobart", failureDomain: "hobart-1" };
const CONTEXT: RequestContext = {
    requestId: "r1",
    accountName: "depot",
    className: "digest",
    isIdempotent: true,
    acceptedAtMs: 0,
    firstTokenDueAtMs: 1_000,
    deadlineAtMs: 9_000,
};
const ENDPOINT: Endpoint = {
    ...PLACE,
    endpointId: "e1",
    role: VmRole.ModelRunner,
    address: "127.0.0.1",
    port: 1,
    serviceName: "assistant",
    version: "v1",
    machineClass: "gpu",
    isReclaimable: true,
};
const VM: VmRecord = { ...ENDPOINT, vmId: "e1", state: VmState.Live, incarnation: 1 };
const FULL = createFailure(FailureKind.Overloaded, "full");

function createConfiguration(state: MoveState, share: number): Configuration {
    const move = {
        name: "m",
        serviceName: "assistant",
        fromVersion: "v1",
        toVersion: "v2",
        doneByWallMs: 1,
        reason: "",
    };
    return {
        ...createEmptyConfiguration(),
        revision: 4,
        services: { assistant: { name: "assistant", kind: ServiceKind.Model, version: "v1" } },
        versionMoves: { m: { ...move, state, share } },
    };
}

describe("measureTable", () => {
    it("counts and times calls by outcome, and passes their results through", async () => {
        const clock = createManualClock();
        const metrics = createMetricsRecorder();
        const row = { key: "a", value: "b", version: 1, token: "t" };
        const table: TablePort = {
            readRow: async () => {
                clock.advanceMs(12);
                return Promise.resolve(ok(row));
            },
            listRows: () => Promise.resolve(ok([row])),
            commitTransaction: () => Promise.resolve(err(createFailure(FailureKind.StoreUnavailable, "unavailable"))),
        };
        const measured = measureTable(table, metrics, clock);
        assert.deepEqual((await measured.readRow("a"))._unsafeUnwrap(), row);
        const failed = await measured.commitTransaction({ token: "t", conditions: [], writes: [] });
        assert.equal(failed._unsafeUnwrapErr().kind, FailureKind.StoreUnavailable);
        assert.deepEqual(metrics.reports, [
            "store.time 12 operation=table_read",
            "store.operations 1 operation=table_read outcome=ok",
            "store.time 0 operation=table_commit",
            "store.operations 1 operation=table_commit outcome=store_unavailable",
        ]);
    });
});

describe("measureAdmission", () => {
    it("measures waiting requests, their wait times, and refusals", async () => {
        const clock = createManualClock();
        const metrics = createMetricsRecorder();
        const answers = [ok(undefined), err(FULL)];
        const admission: AdmissionClient = {
            requestAdmission: () => {
                clock.advanceMs(30);
                return Promise.resolve(answers.shift() ?? err(FULL));
            },
            cancelAdmission: () => undefined,
            finishRequest: () => undefined,
        };
        const measured = measureAdmission(admission, metrics, clock);
        const request = { context: CONTEXT, serviceName: "assistant", promptTokens: 1, maximumTokens: 1 };
        await measured.requestAdmission(request);
        await measured.requestAdmission(request);
        assert.deepEqual(metrics.reports, [
            "admission.waiting 1 class=digest",
            "admission.waiting 0 class=digest",
            "admission.wait 30 class=digest",
            "admission.waiting 1 class=digest",
            "admission.waiting 0 class=digest",
            "admission.refused 1 class=digest outcome=overloaded",
        ]);
    });
});

describe("measureRouting", () => {
    it("records the time to first token once per request and counts every attempt by outcome", async () => {
        const clock = createManualClock();
        const metrics = createMetricsRecorder();
        const forwardedKinds: AttemptReportKind[] = [];
        const routing: RoutingClient = {
            chooseEndpoint: () => Promise.resolve(ok({ endpoint: ENDPOINT, estimatedFirstTokenMs: 100 })),
            recordReport: report => void forwardedKinds.push(report.kind),
            watchEndpoint: () => ({ notices: createChannel(1), release: () => undefined }),
        };
        const measured = measureRouting(routing, metrics, clock);
        const choose = async (attempt: number) => {
            const id = { requestId: "r1", attempt };
            const query: RouteQuery = {
                id,
                context: CONTEXT,
                serviceName: "assistant",
                route: "chat",
                prefixHashes: [],
                promptTokens: 1,
                maximumTokens: 9,
                excludedEndpointIds: [],
            };
            await measured.chooseEndpoint(query);
            return (kind: AttemptReportKind, tokens = 0, elapsedMs = 0) =>
                measured.recordReport({
                    kind,
                    id,
                    endpointId: "e1",
                    elapsedMs,
                    tokens,
                    failure: kind === AttemptReportKind.Failed ? FULL : undefined,
                });
        };
        const first = await choose(1);
        clock.advanceMs(150);
        first(AttemptReportKind.FirstToken, 1, 150);
        first(AttemptReportKind.Failed);
        const second = await choose(2);
        clock.advanceMs(50);
        second(AttemptReportKind.FirstToken, 1, 50);
        clock.advanceMs(90);
        second(AttemptReportKind.Tokens, 3);
        second(AttemptReportKind.Finished);
        second(AttemptReportKind.Finished);
        assert.deepEqual(metrics.reports, [
            "answers.first_token 150 class=digest",
            "routing.estimate_error 50 service=assistant",
            "routing.attempts 1 service=assistant version=v1 outcome=overloaded",
            "routing.estimate_error 50 service=assistant",
            "routing.attempts 1 service=assistant version=v1 outcome=finished",
            "answers.token_gap 30 class=digest",
        ]);
        assert.equal(forwardedKinds.length, 6);
    });
});

describe("recordRequest", () => {
    it("counts a request by its outcome", () => {
        const metrics = createMetricsRecorder();
        const summary = { requestId: "r", method: "POST", path: "/", accountName: "a", status: 200, durationMs: 9 };
        recordRequest(metrics, { ...summary, className: "digest", outputTokens: 7 });
        recordRequest(metrics, { ...summary, failure: FULL, outputTokens: 0 });
        assert.deepEqual(metrics.reports, [
            "requests.finished 1 class=digest outcome=ok",
            "answers.whole 9 class=digest",
            "tokens.generated 7 class=digest",
            "requests.finished 1 outcome=overloaded",
            "answers.whole 9",
        ]);
    });
});

describe("createMetricsTask", () => {
    it("sets the gauges periodically and counts moves that end", async () => {
        const metrics = createMetricsRecorder();
        let current = createConfiguration(MoveState.Moving, 0.25);
        let apply: (configuration: Configuration) => void = () => undefined;
        const configuration: Pick<ConfigurationClient, "readCurrent" | "subscribeApplied"> = {
            readCurrent: () => current,
            subscribeApplied: listener => {
                apply = listener;
                return () => (apply = () => undefined);
            },
        };
        const node = { ...PLACE, nodeId: "n", revision: 4, isSuspect: false };
        let sentBytes = 0;
        const task = createMetricsTask({
            metrics,
            clock: createManualClock(),
            configuration: configuration as ConfigurationClient,
            directory: {
                listVms: () => [VM, { ...VM, vmId: "e2", state: VmState.Leaving }],
                subscribeChanges: () => () => undefined,
            },
            nodes: { listRevisions: () => [node, { ...node, nodeId: "o", isSuspect: true }] },
            countOpenRequests: () => 3,
            countSentBytes: () => (sentBytes += 40),
            reportFailure: (_name, failure) => assert.fail(failure.message),
            periodMs: 2,
        });
        while (metrics.reports.filter(report => report.startsWith("process.resident_memory")).length < 2) {
            await new Promise(resolve => setTimeout(resolve, 2));
        }
        for (const expected of [
            "configuration.revision 4",
            "nodes.live 1",
            "nodes.suspect 1",
            "vms.leaving 1",
            "requests.open 3",
            "exchange.bytes 40",
            "versions.share 0.25 service=assistant",
            "fleet.vms 1 service=assistant",
        ]) {
            assert.ok(metrics.reports.includes(expected), expected);
        }
        current = createConfiguration(MoveState.Done, 1);
        apply(current);
        apply(current);
        const ended = metrics.reports.filter(report => report.startsWith("versions.moves_ended"));
        assert.deepEqual(ended, ["versions.moves_ended 1 service=assistant outcome=done"]);
        task.dispose();
        const reported = metrics.reports.length;
        await new Promise(resolve => setTimeout(resolve, 10));
        assert.equal(metrics.reports.length, reported);
    });
});
