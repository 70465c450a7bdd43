/**
 * @module Reloads the TLS keys and certificates of HTTP listeners without a restart.
 */
import type { Clock } from "../base/clock";
import type { DisposableStore } from "../base/disposableStore";
import type { Failure } from "../base/failure";
import { createTlsWatcher, type TlsMaterial } from "../nodes/createTlsWatcher";
import type { TlsFiles } from "../settings/settings";
import type { TlsIdentity } from "./tlsIdentity";

/** The TLS identity of a listener: the initial one, and a subscription to later ones. */
export interface WatchedTlsIdentity {
    /** The initial identity; absent for plain HTTP. */
    readonly first?: TlsIdentity;
    /** Passes each later identity to the listener. */
    attach(listener: { replaceIdentity(identity: TlsIdentity): void }): void;
}

/**
 * Reads a listener's key and certificate and watches their files for changes.
 *
 * @param files - Paths of the files; absent for plain HTTP
 * @param options - Clock, store that owns the file watch, and callback for files that became unusable
 * @returns The watched identity
 * @throws {FailureError} `InvalidSettings` if the files can't be read or are not valid when the watch starts
 * @example
 * const identity = await watchTlsIdentity(settings.callers.tls, { clock, owned, reportFailure });
 * identity.attach(await createCallerListener(dependencies, { identity: identity.first, ...others }));
 */
export async function watchTlsIdentity(
    files: TlsFiles | undefined,
    options: {
        readonly clock: Clock;
        readonly owned: DisposableStore;
        readonly reportFailure: (failure: Failure) => void;
    },
): Promise<WatchedTlsIdentity> {
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
