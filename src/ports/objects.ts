/**
 * @module Port to the platform's object store.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** The object store. Failures: `StoreUnavailable`, `StoreOutcomeUnknown`, `NotFound`. */
export interface ObjectsPort {
    /** Writes a whole object; replaces an existing object with the same key. */
    writeObject(key: string, body: Buffer): Promise<Result<void, Failure>>;
    /** Reads an object, or the byte range [`start`, `end`) of it. */
    readObject(key: string, range?: { readonly start: number; readonly end: number }): Promise<Result<Buffer, Failure>>;
    /** Deletes an object; succeeds if there is none. */
    deleteObject(key: string): Promise<Result<void, Failure>>;
    /** Lists keys that begin with `prefix`, in order, starting after `after`. */
    listObjects(
        prefix: string,
        options?: { readonly after?: string; readonly limit?: number },
    ): Promise<Result<readonly string[], Failure>>;
}
