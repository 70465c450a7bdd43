/**
 * @module The contract of model runners: orders, cache, load. Generations stand in `defineGenerationContract`.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Execution, FailureKind } from "../../base/failure";
import { type RunnerOrder, RunnerOrderKind } from "../../ports/modelRunner";
import { FaultKind } from "../../standins/fault";
import { createChat, expectWholeAnswer, readEvents } from "./_lib/generations";
import { defineFaultCases } from "./defineFaultCases";
import type { ModelRunnerSubject } from "./modelRunnerSubject";
import { waitUntil } from "./waitUntil";

/**
 * Defines the tests of everything but generations that every model runner adapter must pass.
 *
 * @param name - The adapter's name in the report
 * @param createSubject - Builds an adapter and two runners that serve version `v1` and check fencing tokens
 * @example
 * defineModelRunnerContract("The HTTP model runner", createSubject);
 */
export function defineModelRunnerContract(name: string, createSubject: () => Promise<ModelRunnerSubject>): void {
    const withSubject = (check: (subject: ModelRunnerSubject) => Promise<void>) => async () => {
        const subject = await createSubject();
        try {
            await check(subject);
        } finally {
            subject.dispose();
        }
    };
    const createOrder = (token: string, epoch = 1, kind = RunnerOrderKind.LoadVersion): RunnerOrder => ({
        kind,
        argument: `v-${token}`,
        epoch,
        token,
    });

    void describe(`${name} takes orders`, () => {
        void it(
            "once for a token, and shows their effect in its state",
            withSubject(async ({ port, endpoint, countOrders }) => {
                await port.sendOrder(endpoint, createOrder("a", 3));
                await port.sendOrder(endpoint, createOrder("a", 3));
                await port.sendOrder(endpoint, createOrder("b", 3, RunnerOrderKind.LoadAdapter));
                await port.sendOrder(endpoint, createOrder("c", 3, RunnerOrderKind.ChangeRole));
                await waitUntil(() => countOrders("c") === 1, "the last order is carried out");
                assert.equal(countOrders("a"), 1);
                assert.deepEqual((await port.readState(endpoint))._unsafeUnwrap(), {
                    version: "v-a",
                    adapters: ["v-b"],
                    role: "v-c",
                    epoch: 3,
                });
            }),
        );
        void it(
            "but not with an old fencing token, and says that it did not run",
            withSubject(async ({ port, endpoint, countOrders }) => {
                await port.sendOrder(endpoint, createOrder("new", 5));
                const failure = (await port.sendOrder(endpoint, createOrder("old", 4)))._unsafeUnwrapErr();
                assert.equal(failure.kind, FailureKind.EndpointRefused);
                assert.equal(failure.execution, Execution.NotRun);
                assert.equal(countOrders("old"), 0);
            }),
        );
        void it(
            "with an old fencing token where the engine ignores it, and then shows no epoch",
            withSubject(async ({ port, endpoint, faults, countOrders }) => {
                faults.setFaults([{ kind: FaultKind.FencingIgnored }]);
                await port.sendOrder(endpoint, createOrder("new", 5));
                assert.ok((await port.sendOrder(endpoint, createOrder("old", 4))).isOk());
                await waitUntil(() => countOrders("old") === 1, "the old order is carried out");
                assert.equal((await port.readState(endpoint))._unsafeUnwrap().epoch, undefined);
            }),
        );
    });

    void describe(`${name} moves KV cache`, () => {
        void it(
            "to another runner, which then continues without prefilling again",
            withSubject(async subject => {
                const { port, endpoint, otherEndpoint } = subject;
                const chat = createChat(40, "shift ".repeat(400));
                const id = { requestId: "moved", attempt: 1 };
                const first = port.openGeneration(endpoint, { id, chat, priority: 0, resumedTexts: [] });
                const begun = await readEvents(first, { untilTokens: 10 });
                const exported = (await port.exportCache(endpoint, id))._unsafeUnwrap();
                first.cancel();
                assert.ok(exported.tokens > 600 && exported.bytes > exported.tokens);
                const imported = await port.importCache(otherEndpoint, endpoint, exported.cacheId);
                assert.ok(imported.isOk());
                const second = port.openGeneration(otherEndpoint, {
                    id: { ...id, attempt: 2 },
                    chat,
                    priority: 0,
                    resumedTexts: begun.texts,
                    importedCacheId: exported.cacheId,
                });
                const rest = await readEvents(second);
                expectWholeAnswer(chat, [...begun.texts, ...rest.texts]);
                assert.ok(subject.countPrefilledElsewhere() < 40);
            }),
        );
        void it(
            "but not of an attempt that isn't there, nor an unknown cache",
            withSubject(async ({ port, endpoint, otherEndpoint }) => {
                assert.ok((await port.exportCache(endpoint, { requestId: "none", attempt: 1 })).isErr());
                assert.ok((await port.importCache(otherEndpoint, endpoint, "none")).isErr());
            }),
        );
    });

    void describe(`${name} publishes its cache and its load`, () => {
        const fillCache = async ({ port, endpoint }: ModelRunnerSubject, requestId: string) => {
            const chat = createChat(2, `${requestId} `.repeat(300));
            await readEvents(
                port.openGeneration(endpoint, { id: { requestId, attempt: 1 }, chat, priority: 0, resumedTexts: [] }),
            );
        };
        void it(
            "by cache events with rising sequence numbers",
            withSubject(async subject => {
                await fillCache(subject, "alpha");
                const events = (await subject.port.listCacheEvents(subject.endpoint, 0))._unsafeUnwrap();
                assert.deepEqual(
                    events.map(event => event.sequence),
                    events.map((_, index) => index + 1),
                );
                assert.ok(events.length > 0);
                const last = events.length;
                assert.deepEqual((await subject.port.listCacheEvents(subject.endpoint, last))._unsafeUnwrap(), []);
            }),
        );
        void it(
            "with gaps in the numbers where events were lost, and late where they are late",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.CacheEventsLost, times: 2 }]);
                await fillCache(subject, "alpha");
                const events = (await subject.port.listCacheEvents(subject.endpoint, 0))._unsafeUnwrap();
                assert.equal(events[0]?.sequence, 3);
                subject.faults.setFaults([{ kind: FaultKind.CacheEventsLate, delayMs: 60_000 }]);
                await fillCache(subject, "bravo");
                const later = (await subject.port.listCacheEvents(subject.endpoint, 0))._unsafeUnwrap();
                assert.equal(later.length, events.length);
            }),
        );
        void it(
            "by load reports that lag, with their age",
            withSubject(async subject => {
                const { port, endpoint } = subject;
                const chat = createChat(400);
                const id = { requestId: "busy", attempt: 1 };
                const generation = port.openGeneration(endpoint, { id, chat, priority: 0, resumedTexts: [] });
                await readEvents(generation, { untilTokens: 1 });
                assert.equal((await port.readLoad(endpoint))._unsafeUnwrap().running, 1);
                subject.faults.setFaults([{ kind: FaultKind.LoadLagging, delayMs: 60_000 }]);
                const late = (await port.readLoad(endpoint))._unsafeUnwrap();
                assert.equal(late.running, 0);
                assert.ok(late.ageMs > 0);
                generation.cancel();
            }),
        );
        void it(
            "and gives a sign of life on a new connection while the kept one is silent",
            withSubject(async ({ port, endpoint, faults }) => {
                await port.readState(endpoint);
                faults.setFaults([{ kind: FaultKind.ConnectionsSilent }]);
                assert.ok((await port.probeRunner(endpoint)).isOk());
                faults.setFaults([{ kind: FaultKind.Down }]);
                assert.ok((await port.probeRunner(endpoint)).isErr());
            }),
        );
    });

    defineFaultCases<ModelRunnerSubject>({
        title: `${name}: orders`,
        createSubject,
        runCall: ({ port, endpoint }, label) => port.sendOrder(endpoint, createOrder(label)),
        countEffects: (subject, label) => subject.countOrders(label),
        expectFailure: (failure, { isKnownWithoutEffect }) =>
            assert.equal(failure.execution, isKnownWithoutEffect ? Execution.NotRun : Execution.Unknown),
    });
}
