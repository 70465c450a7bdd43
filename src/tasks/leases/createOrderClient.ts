/**
 * @module Orders to model runners, given under a lease.
 */
import { err, ok, type Result } from "neverthrow";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { findFirstOrderMs, isOrderCompatible, isOrderInEffect } from "../../decisions/leases/orders";
import type { ModelRunnerPort, RunnerOrder, RunnerState } from "../../ports/modelRunner";
import { ORDER_FLIGHT_MAX_MS } from "./_lib/constants";
import type { FencedOrder, OrderClient } from "./orderClient";

/** What the orders need. */
export interface OrderClientOptions {
    readonly runners: ModelRunnerPort;
    readonly clock: Clock;
}

/** An order that may still reach its endpoint. */
interface OpenOrder {
    readonly order: Pick<RunnerOrder, "kind" | "argument">;
    /** Monotonic milliseconds after which it cannot. */
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
    const openOrders = new Map<string, OpenOrder>();
    const queues = new Map<string, Promise<unknown>>();

    const waitUntil = async (atMs: number) => {
        const remainingMs = atMs - clock.readMonotonicMs();
        if (remainingMs > 0) {
            await clock.waitMs(remainingMs);
        }
    };
    const waitBounded = <T>(call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> => {
        const silent = createFailure(FailureKind.EndpointSilent, "The endpoint gave no answer in time.", {
            execution: Execution.Unknown,
        });
        return Promise.race([call, clock.waitMs(ORDER_FLIGHT_MAX_MS).then(() => err(silent))]);
    };
    const readState = (fenced: FencedOrder): Promise<Result<RunnerState, Failure>> =>
        waitBounded(options.runners.readState(fenced.endpoint));

    /** Waits out an earlier order to this endpoint that may still be on its way, unless both may be. */
    const waitForOpenOrder = async ({ endpoint, order, checksFencing }: FencedOrder) => {
        const open = openOrders.get(endpoint.endpointId);
        if (open !== undefined && !checksFencing && !isOrderCompatible(open.order, order)) {
            await waitUntil(open.untilMs);
        }
    };
    const sendNow = async (fenced: FencedOrder): Promise<Result<void, Failure>> => {
        const { endpoint, order, lease } = fenced;
        const epoch = lease.checkHeld();
        if (epoch.isErr()) {
            return err(epoch.error);
        }
        assertNoConflict(openOrders.get(endpoint.endpointId), fenced, clock.readMonotonicMs());
        const sentAtMs = clock.readMonotonicMs();
        openOrders.set(endpoint.endpointId, { order, untilMs: sentAtMs + ORDER_FLIGHT_MAX_MS });
        const answer = await waitBounded(options.runners.sendOrder(endpoint, { ...order, epoch: epoch.value }));
        if (answer.isOk() || answer.error.kind === FailureKind.EndpointRefused) {
            openOrders.delete(endpoint.endpointId);
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
                maximumDeliveryMs: ORDER_FLIGHT_MAX_MS,
            }),
        );
        await waitForOpenOrder(fenced);
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
            const turn = (queues.get(key) ?? Promise.resolve()).then(() => runOrder(fenced));
            queues.set(key, turn);
            return turn.finally(() => {
                if (queues.get(key) === turn) {
                    queues.delete(key);
                }
            });
        },
    };
}

function assertNoConflict(open: OpenOrder | undefined, fenced: FencedOrder, nowMs: number): void {
    const isOpen = open !== undefined && nowMs < open.untilMs;
    assertInvariant(
        !isOpen || fenced.checksFencing || isOrderCompatible(open.order, fenced.order),
        Invariant.NoConflictingOrders,
        `${fenced.endpoint.endpointId}: ${open?.order.kind} and ${fenced.order.kind}`,
    );
}
