/**
 * @module Sends orders to model runners under a lease.
 */
import { err, ok, type Result } from "neverthrow";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { findFirstOrderMs, isOrderCompatible, isOrderInEffect } from "../../decisions/leases/orders";
import type { ModelRunnerPort, RunnerOrder, RunnerState } from "../../ports/modelRunner";
import { MAXIMUM_ORDER_DELIVERY_MS } from "./_lib/constants";
import type { FencedOrder, OrderClient } from "./orderClient";

/** Dependencies of the order client. */
export interface OrderClientOptions {
    readonly runners: ModelRunnerPort;
    readonly clock: Clock;
}

/** An order without a definite answer, which may still reach its endpoint. */
interface PendingOrder {
    readonly order: Pick<RunnerOrder, "kind" | "argument">;
    /** Monotonic milliseconds after which it can no longer reach the endpoint. */
    readonly untilMs: number;
}

/**
 * Creates the client for orders under a lease.
 *
 * @param options - The runners' port and the clock
 * @returns The client
 * @example
 * const sent = await orders.sendFencedOrder({ endpoint, order, lease, checksFencing: true });
 */
export function createOrderClient(options: OrderClientOptions): OrderClient {
    const { clock } = options;
    const pendingOrders = new Map<string, PendingOrder>();
    const queues = new Map<string, Promise<unknown>>();

    const waitUntil = async (atMs: number) => {
        const remainingMs = atMs - clock.readMonotonicMs();
        if (remainingMs > 0) {
            await clock.waitMs(remainingMs);
        }
    };
    const waitWithTimeout = <T>(call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> => {
        const timeoutFailure = createFailure(FailureKind.EndpointSilent, "The endpoint did not respond in time.", {
            execution: Execution.Unknown,
        });
        return Promise.race([call, clock.waitMs(MAXIMUM_ORDER_DELIVERY_MS).then(() => err(timeoutFailure))]);
    };
    const readState = (fenced: FencedOrder): Promise<Result<RunnerState, Failure>> =>
        waitWithTimeout(options.runners.readState(fenced.endpoint));

    /** Waits until an earlier order to this endpoint can no longer arrive, unless the two orders are compatible. */
    const waitForPendingOrder = async ({ endpoint, order, checksFencing }: FencedOrder) => {
        const pending = pendingOrders.get(endpoint.endpointId);
        if (pending !== undefined && !checksFencing && !isOrderCompatible(pending.order, order)) {
            await waitUntil(pending.untilMs);
        }
    };
    const sendNow = async (fenced: FencedOrder): Promise<Result<void, Failure>> => {
        const { endpoint, order, lease } = fenced;
        const epoch = lease.checkHeld();
        if (epoch.isErr()) {
            return err(epoch.error);
        }
        assertNoConflict(pendingOrders.get(endpoint.endpointId), fenced, clock.readMonotonicMs());
        const sentAtMs = clock.readMonotonicMs();
        pendingOrders.set(endpoint.endpointId, { order, untilMs: sentAtMs + MAXIMUM_ORDER_DELIVERY_MS });
        const answer = await waitWithTimeout(options.runners.sendOrder(endpoint, { ...order, epoch: epoch.value }));
        if (answer.isOk() || answer.error.kind === FailureKind.EndpointRefused) {
            pendingOrders.delete(endpoint.endpointId);
            return answer;
        }
        const state = await readState(fenced);
        return state.isOk() && isOrderInEffect(order, state.value)
            ? ok(undefined)
            : err({ ...answer.error, execution: Execution.Unknown });
    };
    const runOrder = async (fenced: FencedOrder): Promise<Result<void, Failure>> => {
        const { lease, checksFencing, order } = fenced;
        await waitUntil(
            findFirstOrderMs({
                checksFencing,
                acquiredAtMs: lease.acquiredAtMs,
                maximumDeliveryMs: MAXIMUM_ORDER_DELIVERY_MS,
            }),
        );
        await waitForPendingOrder(fenced);
        if (!checksFencing) {
            const state = await readState(fenced);
            if (state.isErr()) {
                return err({ ...state.error, execution: Execution.NotRun });
            }
            if (isOrderInEffect(order, state.value)) {
                return ok(undefined);
            }
        }
        return sendNow(fenced);
    };
    return {
        sendFencedOrder: fenced => {
            const key = fenced.endpoint.endpointId;
            const result = (queues.get(key) ?? Promise.resolve()).then(() => runOrder(fenced));
            queues.set(key, result);
            return result.finally(() => {
                if (queues.get(key) === result) {
                    queues.delete(key);
                }
            });
        },
    };
}

function assertNoConflict(pending: PendingOrder | undefined, fenced: FencedOrder, nowMs: number): void {
    const isPending = pending !== undefined && nowMs < pending.untilMs;
    assertInvariant(
        !isPending || fenced.checksFencing || isOrderCompatible(pending.order, fenced.order),
        Invariant.NoConflictingOrders,
        `${fenced.endpoint.endpointId}: ${pending?.order.kind} and ${fenced.order.kind}`,
    );
}
