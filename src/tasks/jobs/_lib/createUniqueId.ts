/**
 * @module Ids that no other node or time gives again.
 */
import { ulid } from "ulid";
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";

/**
 * Creates a ULID from the node's clock and random stream.
 *
 * @param options - Clock and random stream; the stream must be seeded differently on each node and start
 * @returns 26 characters that sort by time
 * @example
 * createUniqueId({ clock, random });
 */
export function createUniqueId(options: { readonly clock: Clock; readonly random: Random }): string {
    return ulid(options.clock.readWallMs(), () => options.random.drawFraction());
}
