/**
 * @module Types of channels and tasks. js-csp, the library behind them, has no type declarations.
 *
 * The body of a task is a generator. Inside it, `yield* take(channel)` returns the next message with its type.
 */

/** A queue of messages between tasks. `undefined` can't be sent: taking from a closed, empty channel returns it. */
export interface Channel<T> {
    /** Carries the message type; has no value at run time. */
    readonly messageType?: T;
}

/** An opaque value that a task yields to js-csp. */
export type Instruction = unknown;

/** A generator that runs inside a task, called by `yield*`, and returns a value of type `T`. */
export type TaskGenerator<T> = Generator<Instruction, T, unknown>;

/** What happens to a message that is sent to a full channel. */
export enum Overflow {
    /** The sender waits. */
    Wait = "wait",
    /** The new message is dropped. */
    DropNewest = "drop_newest",
    /** The oldest message is dropped. */
    DropOldest = "drop_oldest",
}
