/**
 * @module Where an adapter sends requests.
 */

/** IP number and port. */
export interface HttpTarget {
    readonly address: string;
    readonly port: number;
}
