/**
 * @module Choosing the service version that serves a request.
 */
import { hashText } from "../../base/hashText";
import { MoveState, type Service, type VersionMove } from "../../model/configuration";

/**
 * Chooses the version by the share of traffic that the service's version move gives to the new version. The choice
 * depends only on the move and the request id, so every node makes the same one. A retry goes to the old version,
 * because the first attempt may have failed by a fault of the new version.
 *
 * @param service - The service
 * @param move - Its version move, if there is one
 * @param request - Request id and attempt number
 * @param isBraked - Whether this node has braked a version, that is, stopped sending it requests
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
