/**
 * @module Filters the endpoints that can execute a request.
 */
import type { GatewayEndpoint } from "../../model/gateway";

/** What is needed of an endpoint to tell whether it can execute a request. */
export type LoadedEndpoint = Pick<GatewayEndpoint, "loadedModels">;

/**
 * Filters the endpoints that have loaded the model of a request. An endpoint that has just been added may have loaded
 * nothing yet; a request sent there would wait until its deadline.
 *
 * @param records - The candidates
 * @param model - Name of the model that the request needs; `undefined` if it needs none
 * @returns Those that can execute the request
 * @example
 * filterServable([{ endpoint }], "assistant");
 */
export function filterServable<T extends { readonly endpoint: LoadedEndpoint }>(
    records: readonly T[],
    model: string | undefined,
): readonly T[] {
    return model === undefined
        ? records
        : records.filter(({ endpoint: { loadedModels } }) => loadedModels?.includes(model) ?? true);
}
