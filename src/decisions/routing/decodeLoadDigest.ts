/**
 * @module Reading load digests of other nodes.
 */
import { QUANTISATION_RATIO } from "./constants";
import type { LoadDigest, ServiceDigest } from "./loadDigest";

const FORMAT_VERSION = 1;

/**
 * Decodes a digest.
 *
 * @param bytes - What `encodeLoadDigest` gave
 * @returns The load, or `undefined` for another version of the format or a damaged digest
 * @example
 * const digest = decodeLoadDigest(update.payload);
 */
export function decodeLoadDigest(bytes: Uint8Array): LoadDigest | undefined {
    if (bytes[0] !== FORMAT_VERSION) {
        return undefined;
    }
    const services: ServiceDigest[] = [];
    let position = 2;
    const read = () => bytes[position++] ?? 0;
    const readHash = () => read() * 256 + read();
    for (let count = bytes[1] ?? 0; count > 0; count--) {
        const serviceHash = readHash();
        const demandTokensPerSecond = convertFromStep(read());
        const inFlight = new Map<number, number>();
        for (let domains = read(); domains > 0; domains--) {
            inFlight.set(readHash(), convertFromStep(read()));
        }
        services.push({ serviceHash, demandTokensPerSecond, inFlight });
    }
    return position === bytes.length ? services : undefined;
}

function convertFromStep(step: number): number {
    return step === 0 ? 0 : QUANTISATION_RATIO ** (step - 1);
}
