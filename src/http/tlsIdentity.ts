/**
 * @module The TLS key and certificate of a listener.
 */

/** A private key and its certificate chain, both in PEM format. */
export interface TlsIdentity {
    readonly key: string;
    readonly certificate: string;
}
