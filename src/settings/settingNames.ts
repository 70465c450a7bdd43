/**
 * @module Converts names of settings to flags and environment variables.
 */

/** Prefix of this program's environment variables. */
export const VARIABLE_PREFIX = "REDWINGLIFT_";

/**
 * Converts a setting's name to its flag.
 *
 * @param name - The name, in camelCase
 * @returns The flag without its two leading hyphens
 * @example
 * toFlagName("callerPort"); //=> "caller-port"
 */
export function toFlagName(name: string): string {
    return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/**
 * Converts a setting's name to its environment variable.
 *
 * @param name - The name, in camelCase
 * @returns The variable's name
 * @example
 * toVariableName("callerPort"); //=> "REDWINGLIFT_CALLER_PORT"
 */
export function toVariableName(name: string): string {
    return `${VARIABLE_PREFIX}${toFlagName(name).replaceAll("-", "_").toUpperCase()}`;
}
