/**
 * @module Typed channels and tasks over js-csp, which publishes no typings of its own.
 *
 * A task is a generator. Inside it, `yield* take(channel)` gives the next message with its type.
 */

/** A queue of messages between tasks. `undefined` cannot be sent; taking from a closed, empty channel gives it. */
export interface Channel<T> {
    /** Keeps the message type; has no value at run time. */
    readonly messageType?: T;
}

/** What a task yields to js-csp. Opaque. */
export type Instruction = unknown;

/** A step of a task: a generator that ends with a value of type `T`. */
export type Step<T> = Generator<Instruction, T, unknown>;

/** How a full channel treats a further message. */
export enum Overflow {
    /** The sender waits. */
    Wait = "wait",
    /** The new message is dropped. */
    DropNewest = "drop_newest",
    /** The oldest message is dropped. */
    DropOldest = "drop_oldest",
}
