/**
 * @module Creates the store that owns a task's resources.
 */
import type { Disposable, DisposableStore } from "./disposableStore";

/**
 * Creates an empty store of disposables.
 *
 * @param options - `reportError`: receives an error thrown by a disposable; the remaining ones are still disposed
 * @returns The store
 * @example
 * const store = createDisposableStore();
 * store.add({ dispose: () => socket.destroy() });
 * store.dispose();
 */
export function createDisposableStore(
    options: { readonly reportError?: (error: unknown) => void } = {},
): DisposableStore {
    const owned: Disposable[] = [];
    let disposed = false;
    const disposeOne = (disposable: Disposable) => {
        try {
            disposable.dispose();
        } catch (error) {
            options.reportError?.(error);
        }
    };
    return {
        get isDisposed() {
            return disposed;
        },
        add: disposable => {
            if (disposed) {
                disposeOne(disposable);
            } else {
                owned.push(disposable);
            }
            return disposable;
        },
        dispose: () => {
            disposed = true;
            for (let next = owned.pop(); next !== undefined; next = owned.pop()) {
                disposeOne(next);
            }
        },
    };
}
