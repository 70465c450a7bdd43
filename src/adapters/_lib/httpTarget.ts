/**
 * @module Where an adapter sends requests.
 */

/** IP number and port. */
export interface HttpTarget {
    readonly address: string;
    readonly port: number;
    /** True to connect by TLS (default false). The process's trusted authorities sign the other end's certificate. */
    readonly isTls?: boolean;
}
