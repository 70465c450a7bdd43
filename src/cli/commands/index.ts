/**
 * @module Every command, in the order of the help text.
 */
import type { CommandDefinition } from "../commandDefinition";
import { ACCOUNT_KEY_COMMANDS } from "./accountKeyCommands";
import { buildItemCommands } from "./buildItemCommands";
import { CONFIGURATION_COMMANDS } from "./configurationCommands";
import { EXPLAIN_COMMANDS } from "./explainCommands";
import { FLEET_COMMANDS } from "./fleetCommands";
import { ITEM_GROUPS } from "./itemGroups";
import { PROGRAM_COMMANDS } from "./programCommands";
import { STATE_COMMANDS } from "./stateCommands";
import { VERSION_COMMANDS } from "./versionCommands";

/** Every command. */
export const COMMANDS: readonly CommandDefinition[] = [
    ...PROGRAM_COMMANDS,
    ...ITEM_GROUPS.flatMap(buildItemCommands),
    ...ACCOUNT_KEY_COMMANDS,
    ...VERSION_COMMANDS,
    ...CONFIGURATION_COMMANDS,
    ...STATE_COMMANDS,
    ...FLEET_COMMANDS,
    ...EXPLAIN_COMMANDS,
];
