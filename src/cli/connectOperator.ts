/**
 * @module Finds the node to talk to and the key to show.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { isLoopbackAddress } from "../base/isLoopbackAddress";
import type { CliContext } from "./cliContext";
import type { CommandOptions } from "./commandDefinition";
import { createOperatorClient } from "./createOperatorClient";
import type { OperatorClient } from "./operatorClient";

const DEFAULT_URL = "http://127.0.0.1:8081";

/**
 * Connects to the operators' listener named by `--operator` or `REDWINGLIFT_OPERATOR_URL`. The key is taken from
 * `REDWINGLIFT_OPERATOR_KEY` only, since flags show in the list of processes.
 *
 * @param options - Options of the command
 * @param context - The outside
 * @returns The client, or `InvalidSettings`
 * @example
 * const client = connectOperator({ operator: "https://10.0.0.4:8081" }, context);
 */
export function connectOperator(options: CommandOptions, context: CliContext): Result<OperatorClient, Failure> {
    const { environment } = context;
    const url = String(options["operator"] ?? environment["REDWINGLIFT_OPERATOR_URL"] ?? DEFAULT_URL);
    const key = environment["REDWINGLIFT_OPERATOR_KEY"] ?? "";
    const authorityFile = environment["REDWINGLIFT_OPERATOR_AUTHORITY_FILE"];
    if (!/^[\x21-\x7e]+$/.test(key)) {
        return refuse("Set REDWINGLIFT_OPERATOR_KEY to an operator key.");
    }
    if (!isUsable(url)) {
        return refuse("The operators' URL must be http://IP:PORT on loopback, or https://IP:PORT.");
    }
    if (authorityFile === undefined || authorityFile === "") {
        return ok(createOperatorClient({ url, key }));
    }
    try {
        return ok(createOperatorClient({ url, key, authority: context.readFile(authorityFile) }));
    } catch {
        return refuse("The file named by REDWINGLIFT_OPERATOR_AUTHORITY_FILE can't be read.");
    }
}

function isUsable(text: string): boolean {
    if (!URL.canParse(text)) {
        return false;
    }
    const url = new URL(text);
    return url.protocol === "https:" || (url.protocol === "http:" && isLoopbackAddress(url.hostname));
}

function refuse(message: string): Result<never, Failure> {
    return err(createFailure(FailureKind.InvalidSettings, message));
}
