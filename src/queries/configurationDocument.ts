/**
 * @module What a configuration file holds.
 */
import type { Configuration } from "../model/configuration";

/** The items that operators keep in files. Version moves are no part of it: they are started and ended by commands. */
export type ConfigurationDocument = Pick<Configuration, "classes" | "accounts" | "services" | "endpointTraits">;

/** Version of the file format, written as `formatVersion`. */
export const DOCUMENT_FORMAT_VERSION = 1;
