/**
 * @module Rules for orders to endpoints: when one may be sent, and whether it is in effect.
 */
import { type RunnerOrder, RunnerOrderKind, type RunnerState } from "../../ports/modelRunner";

/** Determines when an order may be sent. */
export interface OrderTiming {
    /** Whether the endpoint rejects orders with an outdated fencing token. */
    readonly checksFencing: boolean;
    /** Monotonic milliseconds just before the write that acquired the lease was sent. */
    readonly acquiredAtMs: number;
    /** Longest time from the check of the lease until the order has either reached the endpoint or been lost. */
    readonly maximumDeliveryMs: number;
}

/**
 * Finds when a holder may send its first order. An endpoint that checks fencing tokens rejects delayed orders of
 * previous holders itself. For one that does not, the new holder waits until no such order can still be in transit: the
 * previous lease had expired before this one was acquired, so its holder last checked it before that.
 *
 * @param timing - The endpoint's fencing support and the times
 * @returns Monotonic milliseconds
 * @example
 * findFirstOrderMs({ checksFencing: false, acquiredAtMs: 500, maximumDeliveryMs: 5_000 }); //=> 5_500
 */
export function findFirstOrderMs(timing: OrderTiming): number {
    return timing.checksFencing ? timing.acquiredAtMs : timing.acquiredAtMs + timing.maximumDeliveryMs;
}

const EFFECT_CHECKS: Readonly<Record<RunnerOrderKind, (state: RunnerState, argument: string) => boolean>> = {
    [RunnerOrderKind.LoadVersion]: (state, argument) => state.version === argument,
    [RunnerOrderKind.LoadAdapter]: (state, argument) => state.adapters.includes(argument),
    [RunnerOrderKind.ChangeRole]: (state, argument) => state.role === argument,
};

/**
 * Tells whether an order is in effect, from the endpoint's current state. Every order states the desired result instead
 * of a step towards it, so sending it twice is safe.
 *
 * @param order - The order
 * @param state - The endpoint's current state
 * @returns True if the endpoint is already in the desired state
 * @example
 * isOrderInEffect(order, state);
 */
export function isOrderInEffect(order: Pick<RunnerOrder, "kind" | "argument">, state: RunnerState): boolean {
    return EFFECT_CHECKS[order.kind](state, order.argument);
}

/**
 * Tells whether two orders to one endpoint may be in progress at the same time.
 *
 * @param left - One order
 * @param right - The other order
 * @returns True if the orders are equal, or if both load adapters, which do not conflict
 * @example
 * isOrderCompatible(first, second);
 */
export function isOrderCompatible(
    left: Pick<RunnerOrder, "kind" | "argument">,
    right: Pick<RunnerOrder, "kind" | "argument">,
): boolean {
    const isSame = left.kind === right.kind && left.argument === right.argument;
    return isSame || (left.kind === RunnerOrderKind.LoadAdapter && right.kind === RunnerOrderKind.LoadAdapter);
}
