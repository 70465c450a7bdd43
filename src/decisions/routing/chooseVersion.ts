/**
 * @module Which version of a service serves a request.
 */
import { hashText } from "../../base/hashText";
import { MoveState, type Service, type VersionMove } from "../../model/configuration";

/**
 * Chooses the version by the share of the service's move. The choice depends on the request's id alone, so every node
 * makes the same one. A further attempt goes to the old version: the first may have met a fault of the new one.
 *
 * @param service - The service
 * @param move - Its move, if there is one
 * @param request - Id and number of the attempt
 * @param isBraked - Whether this node has braked a version
 * @returns The version
 * @example
 * chooseVersion(service, move, { requestId, attempt: 1 }, version => brakes.has(version));
 */
export function chooseVersion(
    service: Service,
    move: VersionMove | undefined,
    request: { readonly requestId: string; readonly attempt: number },
    isBraked: (version: string) => boolean,
): string {
    if (move === undefined) {
        return service.version;
    }
    if (isBraked(move.toVersion) || move.state === MoveState.TakenBack) {
        return move.fromVersion;
    }
    if (move.state === MoveState.Done || isBraked(move.fromVersion)) {
        return move.toVersion;
    }
    const fraction = hashText(request.requestId, hashText(move.name)) / 2 ** 32;
    const isNewVersion = fraction < move.share && (request.attempt === 1 || move.share >= 1);
    return isNewVersion ? move.toVersion : move.fromVersion;
}
