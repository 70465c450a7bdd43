/**
 * @module Creating the configuration before the first change.
 */
import type { Configuration } from "../../model/configuration";

/**
 * Creates the configuration at revision 0.
 *
 * @returns A configuration without items
 * @example
 * createEmptyConfiguration().revision; //=> 0
 */
export function createEmptyConfiguration(): Configuration {
    return { revision: 0, classes: {}, accounts: {}, services: {}, endpointTraits: {}, versionMoves: {} };
}
