/**
 * @module Globally unique ids.
 */
import { ulid } from "ulid";
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";

/**
 * Creates a ULID from the node's clock and random number generator.
 *
 * @param options - Clock and random number generator; the generator needs a different seed on each node and each start
 * @returns 26 characters whose string order is the order of creation time
 * @example
 * createUniqueId({ clock, random });
 */
export function createUniqueId(options: { readonly clock: Clock; readonly random: Random }): string {
    return ulid(options.clock.readWallMs(), () => options.random.drawFraction());
}
