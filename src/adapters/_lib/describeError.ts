/**
 * @module Errors of sockets in words.
 */

/**
 * Describes an error of a socket.
 *
 * @param error - The error
 * @returns Its code, such as `ECONNRESET`, or its message
 * @example
 * describeError(new Error("socket hang up")); //=> "socket hang up"
 */
export function describeError(error: Error): string {
    return (error as NodeJS.ErrnoException).code ?? error.message;
}
