/**
 * @module The key and certificate of a listener.
 */

/** TLS key and certificate chain, both PEM. */
export interface TlsIdentity {
    readonly key: string;
    readonly certificate: string;
}
