/**
 * @module When an order may be sent to an endpoint, and whether it is in effect.
 */
import { type RunnerOrder, RunnerOrderKind, type RunnerState } from "../../ports/modelRunner";

/** What decides when an order may leave. */
export interface OrderTiming {
    /** Whether the endpoint refuses orders with an old fencing number. */
    readonly checksFencing: boolean;
    /** Monotonic milliseconds just before the lease's write was sent. */
    readonly acquiredAtMs: number;
    /** Longest time from a check of the lease until the order has reached the endpoint or never will. */
    readonly maximumDeliveryMs: number;
}

/**
 * Finds when a holder may send its first order. An endpoint that checks fencing numbers refuses a late order of an
 * earlier holder itself. For one that does not, the new holder waits until no such order can still be on its way: the
 * earlier lease had lapsed before this one was acquired, so its last check came before that.
 *
 * @param start - The endpoint's trait and the times
 * @returns Monotonic milliseconds
 * @example
 * findFirstOrderMs({ checksFencing: false, acquiredAtMs: 500, flightMaxMs: 5_000 }); //=> 5_500
 */
export function findFirstOrderMs(start: OrderTiming): number {
    return start.checksFencing ? start.acquiredAtMs : start.acquiredAtMs + start.maximumDeliveryMs;
}

const EFFECT_CHECKS: Readonly<Record<RunnerOrderKind, (state: RunnerState, argument: string) => boolean>> = {
    [RunnerOrderKind.LoadVersion]: (state, argument) => state.version === argument,
    [RunnerOrderKind.LoadAdapter]: (state, argument) => state.adapters.includes(argument),
    [RunnerOrderKind.ChangeRole]: (state, argument) => state.role === argument,
};

/**
 * Tells whether an order is in effect, from the state read back. Every kind of order states the result wanted, not a
 * step towards it, so that giving one twice is safe.
 *
 * @param order - The order
 * @param state - The endpoint's state
 * @returns True if nothing is left to do
 * @example
 * isOrderInEffect(order, state);
 */
export function isOrderInEffect(order: Pick<RunnerOrder, "kind" | "argument">, state: RunnerState): boolean {
    return EFFECT_CHECKS[order.kind](state, order.argument);
}

/**
 * Tells whether two orders to one endpoint may be on their way together.
 *
 * @param left - One order
 * @param right - The other
 * @returns True if both ask for the same, or for adapters, which do not exclude each other
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
