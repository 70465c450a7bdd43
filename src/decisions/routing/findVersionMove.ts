/**
 * @module Finding the version move of a service: the gradual change of its traffic to another version.
 */
import { type Configuration, MoveState, type Service, type VersionMove } from "../../model/configuration";

/**
 * Finds the version move that applies to a service: the one in progress, else one that is done but whose new version is
 * not yet recorded in the service.
 *
 * @param configuration - The current configuration
 * @param service - The service
 * @returns The version move, if there is one
 * @example
 * const move = findVersionMove(configuration, service);
 */
export function findVersionMove(configuration: Configuration, service: Service): VersionMove | undefined {
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
