/**
 * @module Keys and certificates in the form that the gRPC server takes and replaces while it runs.
 */
import { experimental } from "@grpc/grpc-js";
import type { TlsMaterial, TlsWatcher } from "../createTlsWatcher";

/** Adapts a watcher; new connections use the newest set, open ones stay. */
export function createCertificateProvider(tls: TlsWatcher): experimental.CertificateProvider {
    const authorityListeners = new Set<experimental.CaCertificateUpdateListener>();
    const identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
    tls.subscribeChanges(material => {
        [...authorityListeners].forEach(listener => listener(toAuthorityUpdate(material)));
        [...identityListeners].forEach(listener => listener(toIdentityUpdate(material)));
    });
    return {
        addCaCertificateListener: listener => {
            authorityListeners.add(listener);
            process.nextTick(listener, toAuthorityUpdate(tls.readCurrent()));
        },
        removeCaCertificateListener: listener => void authorityListeners.delete(listener),
        addIdentityCertificateListener: listener => {
            identityListeners.add(listener);
            process.nextTick(listener, toIdentityUpdate(tls.readCurrent()));
        },
        removeIdentityCertificateListener: listener => void identityListeners.delete(listener),
    };
}

function toAuthorityUpdate(material: TlsMaterial): experimental.CaCertificateUpdate {
    return { caCertificate: material.authorities };
}

function toIdentityUpdate(material: TlsMaterial): experimental.IdentityCertificateUpdate {
    return { certificate: material.certificate, privateKey: material.key };
}
