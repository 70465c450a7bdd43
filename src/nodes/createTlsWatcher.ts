/**
 * @module Keys and certificates that are read again when their files change.
 */
import fs from "node:fs/promises";
import { createSecureContext } from "node:tls";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import type { Disposable } from "../base/disposableStore";
import { type Failure, FailureKind } from "../base/failure";
import { FailureError } from "../base/failureError";
import { TLS_RELOAD_PERIOD_MS } from "./_lib/constants";

/** Files in PEM form. */
export interface NodeTlsFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
    /** Certificates of the authorities that sign the peers' certificates; absent where peers show none. */
    readonly authorityFile?: string;
}

/** The contents of the files, checked to fit together. */
export interface TlsMaterial {
    readonly certificate: Buffer;
    readonly key: Buffer;
    /** Empty where there is no authority file. */
    readonly authorities: Buffer;
}

/** The newest usable keys and certificates. */
export interface TlsWatcher extends Disposable {
    readCurrent(): TlsMaterial;
    /** Calls `listener` after each change; the returned function ends that. */
    subscribeChanges(listener: (material: TlsMaterial) => void): () => void;
}

/** What the watcher needs. */
export interface TlsWatcherOptions {
    readonly clock: Clock;
    /** Hears of files that can't be used; the ones in use stay. */
    readonly reportFailure?: (failure: Failure) => void;
    readonly periodMs?: number;
}

/**
 * Reads the files and watches them by polling, since they may be replaced through links that change notices miss. A set
 * that does not fit together, such as a new certificate beside the old key, is not used; the last usable one stays.
 *
 * @param files - The files
 * @param options - Clock, period and where failures are reported
 * @returns The watcher
 * @throws {FailureError} `InvalidSettings` if the files can't be used at the start
 * @example
 * const tls = await createTlsWatcher({ certificateFile, keyFile, authorityFile }, { clock });
 */
export async function createTlsWatcher(files: NodeTlsFiles, options: TlsWatcherOptions): Promise<TlsWatcher> {
    const listeners = new Set<(material: TlsMaterial) => void>();
    let current = await readMaterial(files);
    let disposed = false;
    const poll = async () => {
        while (!disposed) {
            await options.clock.waitMs(options.periodMs ?? TLS_RELOAD_PERIOD_MS);
            try {
                const next = await readMaterial(files);
                if (!disposed && !isSameMaterial(current, next)) {
                    current = next;
                    [...listeners].forEach(listener => listener(next));
                }
            } catch (error) {
                options.reportFailure?.(error instanceof FailureError ? error.failure : createUnusable(String(error)));
            }
        }
    };
    void poll();
    return {
        readCurrent: () => current,
        subscribeChanges: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        dispose: () => {
            disposed = true;
            listeners.clear();
        },
    };
}

async function readMaterial(files: NodeTlsFiles): Promise<TlsMaterial> {
    try {
        const [certificate, key, authorities] = await Promise.all([
            fs.readFile(files.certificateFile),
            fs.readFile(files.keyFile),
            files.authorityFile === undefined ? Buffer.alloc(0) : fs.readFile(files.authorityFile),
        ]);
        if (files.authorityFile !== undefined && !authorities.includes("BEGIN CERTIFICATE")) {
            throw new FailureError(createUnusable("the authority file holds no certificate"));
        }
        createSecureContext({ cert: certificate, key, ca: authorities.length > 0 ? authorities : undefined });
        return { certificate, key, authorities };
    } catch (error) {
        if (error instanceof FailureError) {
            throw error;
        }
        throw new FailureError(createUnusable(error instanceof Error ? error.message : "unknown"));
    }
}

function createUnusable(reason: string): Failure {
    return createFailure(FailureKind.InvalidSettings, `The key and certificates can't be used: ${reason}`);
}

function isSameMaterial(left: TlsMaterial, right: TlsMaterial): boolean {
    return (
        left.certificate.equals(right.certificate) &&
        left.key.equals(right.key) &&
        left.authorities.equals(right.authorities)
    );
}
