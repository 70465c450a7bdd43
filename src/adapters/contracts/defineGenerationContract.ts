/**
 * @module The contract of generations at model runners.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Execution, FailureKind } from "../../base/failure";
import { FinishReason, GenerationEventKind } from "../../model/request";
import type { Generation, GenerationRequest } from "../../ports/modelRunner";
import { FaultKind, type FaultRule } from "../../standins/fault";
import { createChat, expectWholeAnswer, readEvents } from "./_lib/generations";
import { CONTRACT_DELAY_MS } from "./contractSubject";
import type { ModelRunnerSubject } from "./modelRunnerSubject";
import { waitUntil } from "./waitUntil";

interface GenerationFault {
    readonly name: string;
    readonly rule: FaultRule;
    /** Time for the adapter to see that its kept connection was closed. */
    readonly noticedAfterMs?: number;
    readonly tokens: number;
    readonly kind: FailureKind;
    readonly execution: Execution;
    readonly hasSentBytes: boolean;
    /** Times the engine began the generation. */
    readonly starts: number;
}

/** Time for what the engine has sent to reach the adapter. */
const ARRIVAL_MS = 100;

const UNKNOWN = { execution: Execution.Unknown, hasSentBytes: true };
const { EndpointFailed, EndpointSilent, EndpointRefused } = FailureKind;
const GENERATION_FAULTS: readonly GenerationFault[] = [
    {
        name: "the engine has gone down (before)",
        rule: { kind: FaultKind.Down },
        noticedAfterMs: 50,
        tokens: 0,
        kind: EndpointFailed,
        execution: Execution.NotRun,
        hasSentBytes: false,
        starts: 0,
    },
    {
        name: "the engine says that it did not run (before)",
        rule: { kind: FaultKind.Unavailable },
        tokens: 0,
        kind: EndpointRefused,
        execution: Execution.NotRun,
        hasSentBytes: true,
        starts: 0,
    },
    {
        name: "the connection is reset (before)",
        rule: { kind: FaultKind.AnswerLostBeforeEffect },
        tokens: 0,
        kind: EndpointFailed,
        ...UNKNOWN,
        starts: 0,
    },
    {
        name: "the kept connection is silent (before)",
        rule: { kind: FaultKind.ConnectionsSilent },
        tokens: 0,
        kind: EndpointSilent,
        ...UNKNOWN,
        starts: 0,
    },
    {
        name: "the answer is lost (after it began)",
        rule: { kind: FaultKind.AnswerLostAfterEffect },
        tokens: 0,
        kind: EndpointFailed,
        ...UNKNOWN,
        starts: 1,
    },
    {
        name: "the stream is cut (during)",
        rule: { kind: FaultKind.StreamCut, afterTokens: 5 },
        tokens: 5,
        kind: EndpointFailed,
        ...UNKNOWN,
        starts: 1,
    },
    {
        name: "the stream goes silent (during)",
        rule: { kind: FaultKind.StreamSilent, afterTokens: 5 },
        tokens: 5,
        kind: EndpointSilent,
        ...UNKNOWN,
        starts: 1,
    },
    {
        name: "the version fails",
        rule: { kind: FaultKind.VersionFailing, version: "v1" },
        tokens: 0,
        kind: EndpointFailed,
        ...UNKNOWN,
        starts: 0,
    },
];

/**
 * Defines the tests of generations that every model runner adapter must pass.
 *
 * @param name - The adapter's name in the report
 * @param createSubject - Builds an adapter and two runners that serve version `v1`
 * @example
 * defineGenerationContract("The HTTP model runner", createSubject);
 */
export function defineGenerationContract(name: string, createSubject: () => Promise<ModelRunnerSubject>): void {
    const withSubject = (check: (subject: ModelRunnerSubject) => Promise<void>) => async () => {
        const subject = await createSubject();
        try {
            await check(subject);
        } finally {
            subject.dispose();
        }
    };
    const openGeneration = (
        { port, endpoint }: ModelRunnerSubject,
        requestId: string,
        tokens: number,
        more: Partial<GenerationRequest> = {},
    ): Generation =>
        port.openGeneration(endpoint, {
            id: { requestId, attempt: 1 },
            chat: createChat(tokens),
            priority: 0,
            resumedTexts: [],
            ...more,
        });

    void describe(`${name} streams generations`, () => {
        void it(
            "whole, in order, under their own identity",
            withSubject(async subject => {
                const read = await readEvents(openGeneration(subject, "r", 30));
                expectWholeAnswer(createChat(30), read.texts);
                assert.ok(read.ids.every(id => id.requestId === "r" && id.attempt === 1));
                const last = read.events.at(-1);
                assert.ok(last?.kind === GenerationEventKind.Finished);
                assert.equal(last.reason, FinishReason.Stop);
                assert.equal(last.usage.outputTokens, 30);
            }),
        );
        void it(
            "up to the caller's limit, and say so",
            withSubject(async subject => {
                const read = await readEvents(
                    openGeneration(subject, "r", 30, { chat: { ...createChat(30), maximumTokens: 4 } }),
                );
                const last = read.events.at(-1);
                assert.equal(read.texts.length, 4);
                assert.ok(last?.kind === GenerationEventKind.Finished && last.reason === FinishReason.Length);
            }),
        );
        void it(
            "from the offset where an earlier attempt ended",
            withSubject(async subject => {
                const first = openGeneration(subject, "r", 30);
                const begun = await readEvents(first, { untilTokens: 12 });
                first.cancel();
                const rest = await readEvents(openGeneration(subject, "r2", 30, { resumedTexts: begun.texts }));
                const [firstRest] = rest.events;
                assert.ok(firstRest?.kind === GenerationEventKind.Tokens && firstRest.batch.offset === 12);
                expectWholeAnswer(createChat(30), [...begun.texts, ...rest.texts]);
            }),
        );
        void it(
            "many at once, each its own",
            withSubject(async subject => {
                const lengths = Array.from({ length: 20 }, (_, index) => 10 + index);
                const reads = await Promise.all(
                    lengths.map(tokens => readEvents(openGeneration(subject, `r${tokens}`, tokens))),
                );
                reads.forEach((read, index) => expectWholeAnswer(createChat(lengths[index]!), read.texts));
            }),
        );
        void it(
            "that wait for a slow reader without being cut or called silent",
            withSubject(async subject => {
                const generation = openGeneration(subject, "r", 200);
                await sleep(CONTRACT_DELAY_MS);
                const read = await readEvents(generation);
                assert.ok(read.isFinished);
                expectWholeAnswer(createChat(200), read.texts);
            }),
        );
        void it(
            "on connections that are used again, wherever in the answer a reader was slow",
            withSubject(async subject => {
                const lengths = Array.from({ length: 10 }, (_, index) => 12 + index);
                for (const round of ["first", "second"]) {
                    const generations = lengths.map(tokens => openGeneration(subject, `${round}-${tokens}`, tokens));
                    await waitUntil(() => subject.countActive() === 0, "the engine is done");
                    await sleep(ARRIVAL_MS);
                    const reads = await Promise.all(generations.map(generation => readEvents(generation)));
                    assert.ok(reads.every(read => read.isFinished));
                }
                assert.equal(subject.countConnections(), lengths.length);
            }),
        );
        void it(
            "on a new connection where asked to, while the kept ones are silent",
            withSubject(async subject => {
                assert.ok((await readEvents(openGeneration(subject, "a", 3))).isFinished);
                subject.faults.setFaults([{ kind: FaultKind.ConnectionsSilent }]);
                const fresh = openGeneration(subject, "b", 3, { usesNewConnection: true });
                assert.ok((await readEvents(fresh)).isFinished);
                assert.equal((await readEvents(openGeneration(subject, "c", 3))).isFinished, false);
            }),
        );
        void it(
            "until they are cancelled, which also ends them at the engine",
            withSubject(async subject => {
                const generation = openGeneration(subject, "r", 5_000);
                await readEvents(generation, { untilTokens: 3 });
                generation.cancel();
                const rest = await readEvents(generation);
                assert.equal(rest.failure?.kind, FailureKind.Cancelled);
                await waitUntil(() => subject.countActive() === 0, "the engine has dropped the generation");
            }),
        );
    });

    void describe(`${name} tells answers of other requests apart`, () => {
        void it(
            "by passing crossed tokens on under the identity they carry, and never as finished",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.AnswerCrossed }]);
                const read = await readEvents(openGeneration(subject, "mine", 10));
                assert.ok(read.ids.length > 0);
                assert.ok(read.ids.every(id => id.requestId !== "mine"));
                assert.equal(read.failure?.kind, FailureKind.EndpointFailed);
            }),
        );
        void it(
            "and shows doubled tokens by their offsets",
            withSubject(async subject => {
                subject.faults.setFaults([{ kind: FaultKind.AnswerDoubled }]);
                const read = await readEvents(openGeneration(subject, "r", 10));
                const offsets = read.events.flatMap(event =>
                    event.kind === GenerationEventKind.Tokens ? [event.batch.offset] : [],
                );
                assert.equal(offsets.length, 20);
                assert.equal(new Set(offsets).size, 10);
            }),
        );
    });

    void describe(`${name}: generations under faults`, () => {
        for (const fault of GENERATION_FAULTS) {
            void it(
                `fail truthfully when ${fault.name}`,
                withSubject(async subject => {
                    assert.ok((await readEvents(openGeneration(subject, "first", 3))).isFinished);
                    subject.faults.setFaults([fault.rule]);
                    await sleep(fault.noticedAfterMs ?? 0);
                    const generation = openGeneration(subject, "faulted", 20);
                    const read = await readEvents(generation);
                    assert.equal(read.failure?.kind, fault.kind);
                    assert.equal(read.failure?.execution, fault.execution);
                    assert.equal(generation.hasSentBytes(), fault.hasSentBytes);
                    assert.equal(read.texts.length, fault.tokens);
                    assert.equal(subject.countStarts("faulted"), fault.starts);
                    subject.faults.setFaults([]);
                    assert.ok((await readEvents(openGeneration(subject, "later", 3))).isFinished);
                    await waitUntil(() => subject.countActive() === 0, "the engine works on nothing");
                }),
            );
        }
    });
}
