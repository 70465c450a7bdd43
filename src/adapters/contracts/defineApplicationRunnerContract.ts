/**
 * @module The contract of application runners.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Execution, FailureKind } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import type { ServiceCall } from "../../model/request";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import { FaultKind } from "../../standins/fault";
import { type ContractSubject, CONTRACT_DELAY_MS, CONTRACT_TIMEOUTS } from "./contractSubject";
import { defineFaultCases } from "./defineFaultCases";
import { waitUntil } from "./waitUntil";

/** An application runner adapter, one runner, and a look at what it executed. */
export interface ApplicationRunnerSubject extends ContractSubject<ApplicationRunnerPort> {
    readonly endpoint: Endpoint;
    countExecutions(key: string): number;
    countConnections(): number;
}

/**
 * Defines the tests that every application runner adapter must pass.
 *
 * @param name - The adapter's name in the report
 * @param createSubject - Builds an adapter and a runner that serves version `v1`
 * @example
 * defineApplicationRunnerContract("The HTTP application runner", createSubject);
 */
export function defineApplicationRunnerContract(
    name: string,
    createSubject: () => Promise<ApplicationRunnerSubject>,
): void {
    const withSubject = (check: (subject: ApplicationRunnerSubject) => Promise<void>) => async () => {
        const subject = await createSubject();
        try {
            await check(subject);
        } finally {
            subject.dispose();
        }
    };
    const createCall = (key: string, path = "/acknowledgements"): ServiceCall => ({
        serviceName: "register",
        method: "POST",
        path,
        headers: { "content-type": "application/json", "idempotency-key": key },
        body: Buffer.from('{"bulletin":7}'),
    });
    const callService = (
        { port, endpoint }: ApplicationRunnerSubject,
        key: string,
        options: {
            readonly path?: string;
            readonly cancelled?: AbortSignal;
            readonly usesNewConnection?: boolean;
        } = {},
    ) =>
        port.callService(endpoint, { requestId: `request-${key}`, attempt: 1 }, createCall(key, options.path), {
            timeoutMs: CONTRACT_TIMEOUTS.firstByteMs,
            usesNewConnection: options.usesNewConnection,
            cancelled: options.cancelled ?? new AbortController().signal,
        });

    void describe(`${name} executes calls`, () => {
        void it(
            "once, and gives back status, headers and body",
            withSubject(async subject => {
                const answer = (await callService(subject, "k"))._unsafeUnwrap();
                assert.equal(answer.status, 200);
                assert.equal(answer.headers["content-type"], "application/json");
                assert.equal((JSON.parse(answer.body.toString()) as { path: string }).path, "/acknowledgements");
                assert.equal(subject.countExecutions("k"), 1);
            }),
        );
        void it(
            "and passes an error status of the service on",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.VersionFailing, version: "v1", route: "/postings" }]);
                assert.equal((await callService(subject, "a", { path: "/postings" }))._unsafeUnwrap().status, 500);
                assert.equal((await callService(subject, "b"))._unsafeUnwrap().status, 200);
            }),
        );
        void it(
            "until the caller cancels, after which the outcome is unknown",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.VersionSlow, delayMs: CONTRACT_DELAY_MS }]);
                const controller = new AbortController();
                const calling = callService(subject, "k", { cancelled: controller.signal });
                await waitUntil(() => subject.countExecutions("k") === 1, "the call is being executed");
                controller.abort();
                const failure = (await calling)._unsafeUnwrapErr();
                assert.equal(failure.kind, FailureKind.Cancelled);
                assert.equal(failure.execution, Execution.Unknown);
            }),
        );
        void it(
            "but not one that was cancelled before it was sent",
            withSubject(async subject => {
                const failure = (
                    await callService(subject, "k", { cancelled: AbortSignal.abort() })
                )._unsafeUnwrapErr();
                assert.equal(failure.execution, Execution.NotRun);
                assert.equal(subject.countExecutions("k"), 0);
            }),
        );
        void it(
            "on a new connection where asked to, while the kept ones are silent",
            withSubject(async subject => {
                assert.ok((await callService(subject, "a")).isOk());
                subject.faults.setFaults([{ kind: FaultKind.ConnectionsSilent }]);
                assert.ok((await callService(subject, "b", { usesNewConnection: true })).isOk());
                assert.equal(subject.countExecutions("b"), 1);
                assert.ok((await callService(subject, "c")).isErr());
            }),
        );
        void it(
            "each on a connection of its own while it lasts",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.VersionSlow, delayMs: 50 }]);
                const calls = ["a", "b", "c", "d"].map(key => callService(subject, key));
                await waitUntil(() => subject.countExecutions("d") === 1, "all are being executed");
                assert.equal(subject.countConnections(), 4);
                await Promise.all(calls);
            }),
        );
    });

    void describe(`${name} takes an answer for its own call only`, () => {
        void it(
            "when an earlier answer comes a second time on the kept connection",
            withSubject(async subject => {
                subject.faults.setFaults([
                    { kind: FaultKind.AnswerDoubled, route: "/first", delayMs: 100 },
                    { kind: FaultKind.VersionSlow, route: "/second", delayMs: 300 },
                ]);
                assert.ok((await callService(subject, "a", { path: "/first" })).isOk());
                const failure = (await callService(subject, "b", { path: "/second" }))._unsafeUnwrapErr();
                assert.equal(failure.kind, FailureKind.EndpointFailed);
                assert.equal(failure.execution, Execution.Unknown);
                assert.equal(subject.countExecutions("b"), 1);
            }),
        );
    });

    void describe(`${name} shows the runner's state`, () => {
        void it(
            "by a load report that tells its age",
            withSubject(async subject => {
                const first = (await subject.port.readLoad(subject.endpoint))._unsafeUnwrap();
                assert.equal(first.running, 0);
                subject.faults.setFaults([{ kind: FaultKind.LoadLagging, delayMs: 60_000 }]);
                await new Promise(resolve => setTimeout(resolve, 20));
                const late = (await subject.port.readLoad(subject.endpoint))._unsafeUnwrap();
                assert.ok(late.ageMs >= 20);
            }),
        );
        void it(
            "by a sign of life on a new connection while the kept one is silent",
            withSubject(async subject => {
                await callService(subject, "k");
                subject.faults.setFaults([{ kind: FaultKind.ConnectionsSilent }]);
                assert.ok((await subject.port.probeRunner(subject.endpoint)).isOk());
                subject.faults.setFaults([{ kind: FaultKind.Down }]);
                const failure = (await subject.port.probeRunner(subject.endpoint))._unsafeUnwrapErr();
                assert.equal(failure.execution, Execution.NotRun);
            }),
        );
    });

    defineFaultCases<ApplicationRunnerSubject>({
        title: `${name}: calls`,
        createSubject,
        runCall: (subject, label) => callService(subject, label),
        countEffects: (subject, label) => subject.countExecutions(label),
        expectFailure: (failure, { isKnownWithoutEffect }) =>
            assert.equal(failure.execution, isKnownWithoutEffect ? Execution.NotRun : Execution.Unknown),
    });
}
