/**
 * @module Orders to model runners for other tasks, sent under a lease.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import type { RunnerOrder } from "../../ports/modelRunner";
import type { LeaseHandle } from "./leaseClient";

/** An order, that is, a command to change what a runner serves, and the lease whose epoch fences it. */
export interface FencedOrder {
    readonly endpoint: Endpoint;
    /** The order without its epoch, which is taken from the lease. Use the same token when retrying the same order. */
    readonly order: Omit<RunnerOrder, "epoch">;
    readonly lease: LeaseHandle;
    /** `EndpointTraits.checksFencing` of the endpoint's service and machine class. */
    readonly checksFencing: boolean;
}

/** Sends orders to model runners. Orders to the same endpoint are sent one at a time. */
export interface OrderClient {
    /**
     * Sends an order, and succeeds once it is known to be in effect. Failures: `LeaseLost` (not sent),
     * `EndpointRefused` (for example, because of an outdated fencing token), `EndpointSilent` or `EndpointFailed`
     * with `execution: unknown` (retry the same order).
     */
    sendFencedOrder(order: FencedOrder): Promise<Result<void, Failure>>;
}
