/**
 * @module Ownership: what a task opens it adds to its store, and closing the store closes everything in it.
 */

/**
 * Something that holds a resource until it is disposed.
 */
export interface Disposable {
    /** Releases the resource. Calling it again does nothing. */
    dispose(): void;
}

/**
 * A collection of disposables that are disposed together, newest first.
 */
export interface DisposableStore extends Disposable {
    /** Adds a disposable and returns it; if the store is disposed already, the disposable is disposed at once. */
    add<T extends Disposable>(disposable: T): T;
    /** True once `dispose` has run. */
    readonly isDisposed: boolean;
}
