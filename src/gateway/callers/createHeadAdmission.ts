/**
 * @module Admits requests by their heads: the route and the account that they match.
 */
import type { IncomingMessage } from "node:http";
import type { Failure } from "../../base/failure";
import type { CallerRequestHead } from "../../ports/forwardingCodec";
import type { GatewayComponents } from "../gatewayComponents";
import type { AdmittedRequest } from "./buildExchange";
import { createTargetAdmission } from "./createTargetAdmission";

/** Gives what a request matches by the configuration in force, or why it is refused. */
export type HeadAdmission = (request: IncomingMessage, head: CallerRequestHead) => AdmittedRequest | Failure;

/**
 * Creates the admission.
 *
 * @param components - The settings and the configuration in force
 * @returns The admission
 * @example
 * const admitted = admitHead(request, head);
 */
export function createHeadAdmission(components: Pick<GatewayComponents, "settings" | "configuration">): HeadAdmission {
    const admitTarget = createTargetAdmission(components);
    return (request, { key }) =>
        admitTarget({
            host: request.headers.host ?? "",
            target: request.url ?? "/",
            hasKey: key !== undefined,
            findAccount: view => (key === undefined ? undefined : view.accountsByKey.get(key)),
        });
}
