/**
 * @module Reading an item, and changing it on the revision that was read.
 */
import { err, ok, type Result } from "neverthrow";
import { type Failure, FailureKind } from "../../base/failure";
import type { AcceptedChange } from "../../model/configuration";
import type { CommandOptions, OptionDefinition } from "../commandDefinition";
import type { OperatorClient } from "../operatorClient";
import { parseInteger, readOption } from "./readOption";

/** An item with the revision at which it was read; `item` is absent if there is none. */
export interface ReadItem<T> {
    readonly revision: number;
    readonly item?: T;
}

/** The option of every command that changes the configuration. */
export const BASED_ON_OPTION: OptionDefinition = {
    flag: "--based-on <revision>",
    description: "Refuse the change unless this is the newest revision (default: the revision that is read first)",
};

/**
 * Reads an item that may be absent.
 *
 * @param client - The node
 * @param path - Path of the collection, for example `/classes`
 * @param name - The item's name
 * @returns The item and the revision
 * @example
 * await readItem<WorkClass>(client, "/classes", "digest");
 */
export async function readItem<T>(
    client: OperatorClient,
    path: string,
    name: string,
): Promise<Result<ReadItem<T>, Failure>> {
    const read = await client.readQuery<ReadItem<T>>(`${path}/${encodeURIComponent(name)}`);
    const revision = read.isErr() ? read.error.details?.["revision"] : undefined;
    if (read.isErr() && read.error.kind === FailureKind.NotFound && typeof revision === "number") {
        return ok({ revision });
    }
    return read;
}

/**
 * Sets an item.
 *
 * @param client - The node
 * @param path - Path of the collection
 * @param name - The item's name
 * @param value - Its new value
 * @param basedOnRevision - The revision that the change was based on
 * @returns The accepted change, or why it was refused
 * @example
 * await setItem(client, "/services", "assistant", { kind: "model", version: "v2" }, 7);
 */
export function setItem(
    client: OperatorClient,
    path: string,
    name: string,
    value: unknown,
    basedOnRevision: number,
): Promise<Result<AcceptedChange, Failure>> {
    return client.sendCommand("PUT", `${path}/${encodeURIComponent(name)}`, { basedOnRevision, value });
}

/**
 * Chooses the revision that a change is based on.
 *
 * @param options - Options of the command
 * @param readRevision - The revision that was read
 * @returns `--based-on` where given, else the revision that was read
 * @example
 * chooseBaseRevision({ basedOn: "7" }, 9); //=> ok(7)
 */
export function chooseBaseRevision(options: CommandOptions, readRevision: number): Result<number, Failure> {
    const given = readOption(options, "basedOn", parseInteger, "a whole number");
    return given.isErr() ? err(given.error) : ok(given.value ?? readRevision);
}
