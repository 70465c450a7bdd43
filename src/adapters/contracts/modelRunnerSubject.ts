/**
 * @module What the contract of model runners is run against.
 */
import type { Endpoint } from "../../model/endpoint";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import type { ContractSubject } from "./contractSubject";

/** A model runner adapter, two runners, and a look at what they do. The fault switches are those of the first. */
export interface ModelRunnerSubject extends ContractSubject<ModelRunnerPort> {
    readonly endpoint: Endpoint;
    readonly otherEndpoint: Endpoint;
    /** Counts how often the first runner carried out an order. */
    countOrders(token: string): number;
    /** Generations inside the first runner. */
    countActive(): number;
    /** How often generation of a request began at the first runner. */
    countStarts(requestId: string): number;
    /** Connections open to the first runner. */
    countConnections(): number;
    /** Tokens the second runner has prefilled. */
    countPrefilledElsewhere(): number;
}
