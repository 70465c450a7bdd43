/**
 * @module The version move of a service.
 */
import { type Configuration, MoveState, type Service, type VersionMove } from "../../model/configuration";

/**
 * Finds the move that decides a service's versions now: the one in progress, else one that is done but not yet written
 * into the service.
 *
 * @param configuration - The configuration in force
 * @param service - The service
 * @returns The move, if there is one
 * @example
 * const move = findMove(configuration, service);
 */
export function findMove(configuration: Configuration, service: Service): VersionMove | undefined {
    let done: VersionMove | undefined;
    for (const move of Object.values(configuration.versionMoves)) {
        if (move.serviceName !== service.name) {
            continue;
        }
        if (move.state === MoveState.Moving) {
            return move;
        }
        if (move.state === MoveState.Done && move.fromVersion === service.version) {
            done = move;
        }
    }
    return done;
}
