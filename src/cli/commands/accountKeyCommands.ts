/**
 * @module Commands for the keys of accounts.
 */
import { err, ok, safeTry } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import { createAccountKey, KEY_RANDOM_BYTES } from "../../commands/createAccountKey";
import type { Account } from "../../model/configuration";
import { BASED_ON_OPTION, chooseBaseRevision, readItem, setItem } from "../_lib/changeItem";
import { createUsageFailure } from "../_lib/createUsageFailure";
import type { CommandDefinition, CommandOutput } from "../commandDefinition";

const PATH = "/accounts";
/** Shorter beginnings of a hash could mean several keys. */
const SHORTEST_HASH_START = 8;

/** Commands that create and remove keys. A key is made here and shown once; only its hash is sent. */
export const ACCOUNT_KEY_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "account key create",
        parameters: "<account>",
        description: "Create a bearer key and print it once; only its SHA-256 is stored",
        options: [BASED_ON_OPTION],
        examples: ["redwinglift account key create contact-centre"],
        run: ({ words: [name = ""], options, context, connect }) =>
            safeTry(async function* () {
                const client = yield* connect();
                const { revision, item } = yield* await readItem<Account>(client, PATH, name);
                if (item === undefined) {
                    return err(createFailure(FailureKind.NotFound, `There is no account ${name}.`));
                }
                const base = yield* chooseBaseRevision(options, revision);
                const { key, keyHash } = createAccountKey(context.createRandomBytes(KEY_RANDOM_BYTES));
                const value = { ...item, keyHashes: [...item.keyHashes, keyHash] };
                const accepted = yield* await setItem(client, PATH, name, value, base);
                const text = `key created at revision ${accepted.revision}; it is shown only now:\n${key}`;
                return ok<CommandOutput>({ value: { revision: accepted.revision, key, keyHash }, text });
            }),
    },
    {
        name: "account key remove",
        parameters: "<account> <hash>",
        description: "Remove the key whose SHA-256 begins with the given digits",
        options: [BASED_ON_OPTION],
        examples: ["redwinglift account key remove contact-centre 3fa94c01"],
        run: ({ words: [name = "", start = ""], options, connect }) =>
            safeTry(async function* () {
                if (start.length < SHORTEST_HASH_START) {
                    return err(createUsageFailure(`Give at least ${SHORTEST_HASH_START} digits of the hash.`));
                }
                const client = yield* connect();
                const { revision, item } = yield* await readItem<Account>(client, PATH, name);
                const found = item?.keyHashes.filter(hash => hash.startsWith(start)) ?? [];
                if (item === undefined || found.length !== 1) {
                    const message = `${found.length} keys of account ${name} have a hash that begins so.`;
                    return err(createFailure(FailureKind.NotFound, message));
                }
                const base = yield* chooseBaseRevision(options, revision);
                const value = { ...item, keyHashes: item.keyHashes.filter(hash => hash !== found[0]) };
                const accepted = yield* await setItem(client, PATH, name, value, base);
                return ok<CommandOutput>({ value: accepted, text: `key removed at revision ${accepted.revision}` });
            }),
    },
];
