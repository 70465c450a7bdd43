/**
 * @module The wire format of load digests between nodes.
 */
import { DIGEST_BYTES_LIMIT, QUANTISATION_RATIO } from "./constants";
import type { LoadDigest, ServiceDigest } from "./loadDigest";

const FORMAT_VERSION = 1;
const HEADER_BYTES = 2;
const SERVICE_BYTES = 4;
const DOMAIN_BYTES = 3;

/**
 * Encodes a digest as a version byte, the number of services, and for each service its hash, its demand, the number of
 * its failure domains, and for each domain its hash and requests in progress. Numbers are quantised to one byte on a
 * logarithmic scale, with an error of at most 3%. The size is limited to 96 bytes; services are added in the order of
 * their demand, highest first, and those that don't fit are omitted.
 *
 * @param digest - The load
 * @returns The encoded digest
 * @example
 * exchange.publishUpdate(ExchangeTopic.LoadDigest, "", encodeLoadDigest(digest));
 */
export function encodeLoadDigest(digest: LoadDigest): Uint8Array {
    const services = selectServices(digest);
    const bytes: number[] = [FORMAT_VERSION, services.length];
    for (const service of services) {
        bytes.push(service.serviceHash >> 8, service.serviceHash & 0xff);
        bytes.push(convertToStep(service.demandTokensPerSecond), service.inFlight.size);
        for (const [domainHash, count] of service.inFlight) {
            bytes.push(domainHash >> 8, domainHash & 0xff, convertToStep(count));
        }
    }
    return Uint8Array.from(bytes);
}

function selectServices(digest: LoadDigest): readonly ServiceDigest[] {
    const byDemand = [...digest].sort((left, right) => right.demandTokensPerSecond - left.demandTokensPerSecond);
    let bytes = HEADER_BYTES;
    return byDemand.filter(service => {
        const size = SERVICE_BYTES + service.inFlight.size * DOMAIN_BYTES;
        const fits = bytes + size <= DIGEST_BYTES_LIMIT;
        bytes += fits ? size : 0;
        return fits;
    });
}

function convertToStep(value: number): number {
    return value < 1 ? 0 : Math.min(255, 1 + Math.round(Math.log(value) / Math.log(QUANTISATION_RATIO)));
}
