/**
 * @module How other tasks give orders to model runners under a lease.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import type { RunnerOrder } from "../../ports/modelRunner";
import type { LeaseHandle } from "./leaseClient";

/** An order and the lease it is given under. */
export interface FencedOrder {
    readonly endpoint: Endpoint;
    /** The order without its epoch, which is the lease's. Repeat the same token when giving the same order again. */
    readonly order: Omit<RunnerOrder, "epoch">;
    readonly lease: LeaseHandle;
    /** `EndpointTraits.checksFencing` of the endpoint's service and machine class. */
    readonly checksFencing: boolean;
}

/** Handle of the orders to model runners. Orders to one endpoint are sent one after the other. */
export interface OrderClient {
    /**
     * Sends an order, and succeeds once it is known to be in effect. Failures: `LeaseLost` (not sent),
     * `EndpointRefused` (an old fencing number, for example), `EndpointSilent` or `EndpointFailed` with
     * `execution: unknown` (give the same order again).
     */
    sendFencedOrder(order: FencedOrder): Promise<Result<void, Failure>>;
}
