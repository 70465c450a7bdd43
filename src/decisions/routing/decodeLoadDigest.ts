/**
 * @module Decoding load digests of other nodes.
 */
import { QUANTISATION_RATIO } from "./constants";
import type { LoadDigest, ServiceDigest } from "./loadDigest";

const FORMAT_VERSION = 1;

/**
 * Decodes a digest.
 *
 * @param bytes - The output of `encodeLoadDigest`
 * @returns The load, or `undefined` if it is malformed or has another format version
 * @example
 * const digest = decodeLoadDigest(update.payload);
 */
export function decodeLoadDigest(bytes: Uint8Array): LoadDigest | undefined {
    if (bytes[0] !== FORMAT_VERSION) {
        return undefined;
    }
    const services: ServiceDigest[] = [];
    let position = 2;
    const readByte = () => bytes[position++] ?? 0;
    const readHash = () => readByte() * 256 + readByte();
    for (let count = bytes[1] ?? 0; count > 0; count--) {
        const serviceHash = readHash();
        const demandTokensPerSecond = convertFromStep(readByte());
        const inFlight = new Map<number, number>();
        for (let domains = readByte(); domains > 0; domains--) {
            inFlight.set(readHash(), convertFromStep(readByte()));
        }
        services.push({ serviceHash, demandTokensPerSecond, inFlight });
    }
    return position === bytes.length ? services : undefined;
}

function convertFromStep(step: number): number {
    return step === 0 ? 0 : QUANTISATION_RATIO ** (step - 1);
}
