/**
 * @module Keys and certificates of HTTP listeners, replaced without a restart.
 */
import type { Clock } from "../base/clock";
import type { DisposableStore } from "../base/disposableStore";
import type { Failure } from "../base/failure";
import { createTlsWatcher, type TlsMaterial } from "../nodes/createTlsWatcher";
import type { TlsFiles } from "../settings/settings";
import type { TlsIdentity } from "./tlsIdentity";

/** A listener's identity: the one to start with, and where later ones go. */
export interface WatchedIdentity {
    /** Absent for plain HTTP. */
    readonly first?: TlsIdentity;
    /** Hands each later identity to the listener. */
    attach(listener: { replaceIdentity(identity: TlsIdentity): void }): void;
}

/**
 * Reads a listener's key and certificate and watches their files.
 *
 * @param files - The files; absent for plain HTTP
 * @param options - Clock, owner of the watch, and where unusable files are reported
 * @returns The identity
 * @throws {FailureError} `InvalidSettings` if the files can't be used at the start
 * @example
 * const identity = await watchIdentity(settings.callers.tls, { clock, owned, reportFailure });
 * identity.attach(await createCallerListener(dependencies, { identity: identity.first, ...others }));
 */
export async function watchIdentity(
    files: TlsFiles | undefined,
    options: {
        readonly clock: Clock;
        readonly owned: DisposableStore;
        readonly reportFailure: (failure: Failure) => void;
    },
): Promise<WatchedIdentity> {
    if (files === undefined) {
        return { attach: () => undefined };
    }
    const { certificateFile, keyFile } = files;
    const watcher = options.owned.add(await createTlsWatcher({ certificateFile, keyFile }, options));
    return {
        first: convertMaterial(watcher.readCurrent()),
        attach: listener =>
            void watcher.subscribeChanges(material => listener.replaceIdentity(convertMaterial(material))),
    };
}

function convertMaterial(material: TlsMaterial): TlsIdentity {
    return { key: material.key.toString(), certificate: material.certificate.toString() };
}
