/**
 * @module Resource ownership: a task adds each resource it opens to its store; disposing the store releases them all.
 */

/**
 * An object that holds a resource until it is disposed.
 */
export interface Disposable {
    /** Releases the resource. Calling it again does nothing. */
    dispose(): void;
}

/**
 * A collection of disposables that are disposed together, in reverse order of addition.
 */
export interface DisposableStore extends Disposable {
    /** Adds a disposable and returns it; if the store is already disposed, the disposable is disposed immediately. */
    add<T extends Disposable>(disposable: T): T;
    /** True once `dispose` has been called. */
    readonly isDisposed: boolean;
}
