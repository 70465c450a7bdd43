/**
 * @module The task that decides which requests may start, and when.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createDisposableStore } from "../../base/createDisposableStore";
import { createFailure } from "../../base/createFailure";
import { closeChannel, createChannel, offerMessage, superviseTask, takeBatch, waitFor } from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import type { AdmissionPool, WaitingRequest } from "../../decisions/admission/admissionPool";
import { buildWaitingRequest } from "../../decisions/admission/buildWaitingRequest";
import { cancelRequest } from "../../decisions/admission/cancelRequest";
import { createAdmissionPool } from "../../decisions/admission/createAdmissionPool";
import { decideArrival } from "../../decisions/admission/decideArrival";
import { dispatchRequest } from "../../decisions/admission/dispatchRequest";
import { dropLateRequests } from "../../decisions/admission/dropLateRequests";
import { finishAdmittedRequest } from "../../decisions/admission/finishAdmittedRequest";
import { queueRequest } from "../../decisions/admission/queueRequest";
import type { CapacitySource } from "../../decisions/routing/serviceCapacity";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { AdmissionClient, AdmissionRequest } from "./admissionClient";
import { MAXIMUM_QUEUED_ARRIVALS, INBOX_CAPACITY, TICK_INTERVAL_MS } from "./constants";
import { dumpPools } from "./dumpPools";

/** Dependencies of the admission task. */
export interface AdmissionDependencies {
    readonly clock: Clock;
    readonly configuration: Pick<ConfigurationClient, "readCurrent">;
    readonly capacity: CapacitySource;
    readonly reportFailure: (name: string, failure: Failure) => void;
}

/** The running admission task. */
export interface AdmissionTask extends AdmissionClient, DumpSource, Disposable {
    /** Refuses all further requests with `ShuttingDown`; waiting ones may still be admitted. */
    stopAdmitting(): void;
}

type Reply = (result: Result<void, Failure>) => void;

enum MessageKind {
    Arrival = "arrival",
    Cancel = "cancel",
    Finish = "finish",
    /** Only wakes the task: it checks the queues after every batch of messages. */
    Tick = "tick",
}

type Message =
    | { readonly kind: MessageKind.Arrival; readonly request: AdmissionRequest; readonly reply: Reply }
    | { readonly kind: MessageKind.Cancel; readonly requestId: string }
    | { readonly kind: MessageKind.Finish; readonly requestId: string; readonly usedTokens: number }
    | { readonly kind: MessageKind.Tick };

/**
 * Creates the admission task.
 *
 * @param dependencies - The dependencies
 * @returns The running task
 * @example
 * const admission = createAdmissionTask({ clock, configuration, capacity: routing, reportFailure });
 */
export function createAdmissionTask(dependencies: AdmissionDependencies): AdmissionTask {
    const { clock, capacity, configuration } = dependencies;
    const store = createDisposableStore();
    const inbox = createChannel<Message>(INBOX_CAPACITY);
    const pools = new Map<string, AdmissionPool>();
    const poolsByRequest = new Map<string, AdmissionPool>();
    const replies = new Map<string, Reply>();
    const counters = { admitted: 0, refused: 0, dropped: 0, cancelled: 0, lostMessages: 0 };
    let arrivalsInInbox = 0;
    let isStopping = false;

    const replyTo = (requestId: string, result: Result<void, Failure>) => {
        const reply = replies.get(requestId);
        replies.delete(requestId);
        if (result.isErr()) {
            poolsByRequest.delete(requestId);
        }
        reply?.(result);
    };
    const readPool = (serviceName: string) => {
        const pool = pools.get(serviceName) ?? createAdmissionPool();
        pools.set(serviceName, pool);
        return pool;
    };
    const dispatchPool = (serviceName: string, pool: AdmissionPool) => {
        const nowMs = clock.readMonotonicMs();
        for (const late of dropLateRequests(pool, nowMs)) {
            counters.dropped++;
            const message = "The request waited too long to meet its latency target.";
            replyTo(late.requestId, err(createFailure(FailureKind.TargetUnreachable, message, { retryAfterMs: 500 })));
        }
        const hasCapacity = (request: WaitingRequest) => {
            const available = capacity.readCapacity(serviceName, request.costCeilingMicros);
            // Admitted requests whose attempt has not started yet will need a slot as well.
            return available.freeSlots - Math.max(0, pool.admitted.size - available.ownInFlight) >= 1;
        };
        for (
            let next = dispatchRequest(pool, hasCapacity, nowMs);
            next !== undefined;
            next = dispatchRequest(pool, hasCapacity, nowMs)
        ) {
            counters.admitted++;
            replyTo(next.requestId, ok(undefined));
        }
    };
    const handleArrival = (request: AdmissionRequest, reply: Reply) => {
        const { context, serviceName, promptTokens } = request;
        const workClass = configuration.readCurrent().classes[context.className];
        if (workClass === undefined) {
            reply(err(createFailure(FailureKind.UnknownClass, `There is no class named ${context.className}.`)));
            return;
        }
        const pool = readPool(serviceName);
        const available = capacity.readCapacity(serviceName, workClass.costCeilingMicros);
        const waiting = buildWaitingRequest(pool, request, workClass, available);
        const costAtTargetMicros = capacity.findCostAtTarget(serviceName, promptTokens, workClass.latencyTargetMs);
        capacity.recordDemand(serviceName, waiting.costTokens);
        const refusal = decideArrival(pool, waiting, { ...available, costAtTargetMicros }, clock.readMonotonicMs());
        if (refusal !== undefined) {
            counters.refused++;
            reply(err(refusal));
            return;
        }
        queueRequest(pool, waiting);
        poolsByRequest.set(waiting.requestId, pool);
        replies.set(waiting.requestId, reply);
        dispatchPool(serviceName, pool);
    };
    const handlers: { readonly [K in MessageKind]: (message: Extract<Message, { kind: K }>) => void } = {
        [MessageKind.Arrival]: ({ request, reply }) => {
            arrivalsInInbox--;
            try {
                handleArrival(request, reply);
            } catch (error) {
                reply(err(createFailure(FailureKind.Internal, "Admission failed unexpectedly.")));
                throw error;
            }
        },
        [MessageKind.Cancel]: ({ requestId }) => {
            const pool = poolsByRequest.get(requestId);
            if (pool !== undefined && cancelRequest(pool, requestId)) {
                counters.cancelled++;
                replyTo(requestId, err(createFailure(FailureKind.Cancelled, "The request was cancelled.")));
            } else if (pool !== undefined) {
                finishAdmittedRequest(pool, requestId, undefined, clock.readMonotonicMs());
                poolsByRequest.delete(requestId);
            }
        },
        [MessageKind.Finish]: ({ requestId, usedTokens }) => {
            const pool = poolsByRequest.get(requestId);
            if (pool !== undefined) {
                finishAdmittedRequest(pool, requestId, usedTokens, clock.readMonotonicMs());
                poolsByRequest.delete(requestId);
            }
        },
        [MessageKind.Tick]: () => undefined,
    };

    const supervision = { clock, reportFailure: dependencies.reportFailure };
    void superviseTask(
        "admission",
        function* () {
            for (let batch = yield* takeBatch(inbox); batch !== undefined; batch = yield* takeBatch(inbox)) {
                batch.forEach(message => handlers[message.kind](message as never));
                pools.forEach((pool, serviceName) => dispatchPool(serviceName, pool));
            }
            const failure = createFailure(FailureKind.ShuttingDown, "This node has stopped.");
            [...replies.keys()].forEach(requestId => replyTo(requestId, err(failure)));
        },
        supervision,
    );
    void superviseTask(
        "admission-tick",
        function* () {
            while (!store.isDisposed) {
                yield* waitFor(clock.waitMs(TICK_INTERVAL_MS));
                offerMessage(inbox, { kind: MessageKind.Tick });
            }
        },
        supervision,
    );
    store.add({ dispose: () => closeChannel(inbox) });
    const offerToInbox = (message: Message) => {
        counters.lostMessages += offerMessage(inbox, message) || store.isDisposed ? 0 : 1;
    };

    return {
        name: "admission",
        requestAdmission: request =>
            new Promise(reply => {
                const isFull = arrivalsInInbox >= MAXIMUM_QUEUED_ARRIVALS;
                if (isStopping || store.isDisposed) {
                    reply(err(createFailure(FailureKind.ShuttingDown, "This node is shutting down.")));
                } else if (isFull || !offerMessage(inbox, { kind: MessageKind.Arrival, request, reply })) {
                    const message = "Too many requests are arriving at this node.";
                    reply(err(createFailure(FailureKind.Overloaded, message, { retryAfterMs: 1_000 })));
                } else {
                    arrivalsInInbox++;
                }
            }),
        cancelAdmission: requestId => offerToInbox({ kind: MessageKind.Cancel, requestId }),
        finishRequest: (requestId, usedTokens) => offerToInbox({ kind: MessageKind.Finish, requestId, usedTokens }),
        stopAdmitting: () => {
            isStopping = true;
        },
        dumpState: () => ({ isStopping, counters, pools: dumpPools(pools) }),
        dispose: () => store.dispose(),
    };
}
