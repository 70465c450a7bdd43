import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createHttpModelRunner } from "../../adapters/httpModelRunner/createHttpModelRunner";
import { createDisposableStore } from "../../base/createDisposableStore";
import { createFailure } from "../../base/createFailure";
import { createSystemClock } from "../../base/createSystemClock";
import { type Channel, createChannel, offerMessage } from "../../base/csp";
import { FailureKind } from "../../base/failure";
import { type Endpoint, VmRole } from "../../model/endpoint";
import { createModelRunnerStandin } from "../../standins/createModelRunnerStandin";
import { FaultKind } from "../../standins/fault";
import { generateAnswer } from "../../standins/modelEngine/generateAnswer";
import type { AdmissionClient } from "../admission/admissionClient";
import type { EndpointNotice, RoutingClient } from "../routing/routingClient";
import { collectAnswer } from "./_testing/createExecutionHarness";
import { createExecutionTask } from "./createExecutionTask";

// Two stand-in runners behind the HTTP adapter, on loopback. Routing prefers the first one.
const startFixture = async () => {
    const owned = createDisposableStore();
    const clock = createSystemClock();
    const engine = { tokenGapMs: 10 };
    const runners = [
        owned.add(await createModelRunnerStandin({ engine })),
        owned.add(await createModelRunnerStandin({ engine })),
    ] as const;
    const endpoints = runners.map(({ address, port }, index): Endpoint => ({
        endpointId: `runner-${index}`,
        role: VmRole.ModelRunner,
        address,
        port,
        serviceName: "chat",
        version: "v1",
        machineClass: "a",
        isReclaimable: true,
        region: "north",
        failureDomain: "north-1",
    }));
    const watchers: Channel<EndpointNotice>[] = [];
    const routing: RoutingClient = {
        chooseEndpoint: query => {
            const endpoint = endpoints.find(({ endpointId }) => !query.excludedEndpointIds.includes(endpointId));
            const failure = createFailure(FailureKind.NoEndpoint, "There is no endpoint.");
            return Promise.resolve(endpoint === undefined ? err(failure) : ok({ endpoint, estimatedFirstTokenMs: 50 }));
        },
        recordReport: () => undefined,
        watchEndpoint: () => {
            const notices = createChannel<EndpointNotice>(4);
            watchers.push(notices);
            return { notices, release: () => undefined };
        },
    };
    const admission: AdmissionClient = {
        requestAdmission: () => Promise.resolve(ok(undefined)),
        cancelAdmission: () => undefined,
        finishRequest: () => undefined,
    };
    const refused = err(createFailure(FailureKind.EndpointRefused, "There are no application runners."));
    const execution = createExecutionTask({
        admission,
        routing,
        models: owned.add(createHttpModelRunner()),
        applications: {
            callService: () => Promise.resolve(refused),
            readLoad: () => Promise.resolve(refused),
            probeRunner: () => Promise.resolve(refused),
        },
        clock,
        reportEvent: () => undefined,
    });
    const sendChat = (tokens: number) => {
        const nowMs = clock.readMonotonicMs();
        const context = {
            requestId: `request-${tokens}`,
            accountName: "depot",
            className: "digest",
            isIdempotent: true,
            acceptedAtMs: nowMs,
            firstTokenDueAtMs: nowMs + 5_000,
            deadlineAtMs: nowMs + 20_000,
        };
        const messages = [{ role: "user", content: `[tokens:${tokens}] Which roads are closed?` }];
        const chat = { model: "chat", messages, maximumTokens: tokens, sampling: {} };
        const answer = collectAnswer(execution.startChat(context, chat));
        return { answer, expected: generateAnswer(messages, tokens) };
    };
    const reclaimRunner = (noticeMs: number) =>
        watchers.forEach(watcher =>
            offerMessage(watcher, { endpointId: "runner-0", goneAtMs: clock.readMonotonicMs() + noticeMs }),
        );
    return { owned, clock, runners, execution, sendChat, reclaimRunner };
};

describe("executions over the HTTP adapter and stand-in runners", () => {
    for (const kind of [FaultKind.StreamCut, FaultKind.StreamSilent]) {
        it(`resume a stream after ${kind}`, async context => {
            const { owned, runners, execution, sendChat } = await startFixture();
            context.after(() => owned.dispose());
            runners[0].setFaults([{ kind, afterTokens: 5 }]);
            const { answer, expected } = sendChat(40);
            assert.deepEqual((await answer).texts, expected);
            assert.ok(execution.readCounts().resumes <= 2, "a runner whose streams fail is chosen at most twice");
            assert.ok(runners[1].countPrefilledTokens() > 0);
        });
    }

    it("deliver a duplicated stream once", async context => {
        const { owned, runners, execution, sendChat } = await startFixture();
        context.after(() => owned.dispose());
        runners[0].setFaults([{ kind: FaultKind.AnswerDoubled }]);
        const { answer, expected } = sendChat(40);
        assert.deepEqual((await answer).texts, expected);
        assert.ok(execution.readCounts().droppedEvents > 0);
    });

    it("move a stream and its KV cache when its runner is reclaimed", async context => {
        const { owned, clock, runners, execution, sendChat, reclaimRunner } = await startFixture();
        context.after(() => owned.dispose());
        const { answer, expected } = sendChat(300);
        await clock.waitMs(200);
        reclaimRunner(1_500);
        assert.deepEqual((await answer).texts, expected);
        const counts = execution.readCounts();
        assert.equal(counts.cacheMoves, 1);
        assert.ok(counts.recomputedTokens < 100, `${counts.recomputedTokens} tokens recomputed`);
        assert.ok(runners[1].countPrefilledTokens() < 150, `${runners[1].countPrefilledTokens()} tokens prefilled`);
    });
});
