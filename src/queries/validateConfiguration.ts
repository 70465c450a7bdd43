/**
 * @module Checks a configuration as a whole.
 */
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../base/failure";
import { listItems } from "../decisions/configuration/applyChange";
import { type Configuration, type ItemChange, ItemKind, MoveState, type VersionMove } from "../model/configuration";
import { createConfigurationFailure } from "./_lib/createConfigurationFailure";
import { parseItem } from "./parseItem";

const SECTIONS: Readonly<Record<ItemKind, string>> = {
    [ItemKind.Class]: "classes",
    [ItemKind.Account]: "accounts",
    [ItemKind.Service]: "services",
    [ItemKind.EndpointTraits]: "endpointTraits",
    [ItemKind.VersionMove]: "versionMoves",
};

/**
 * Checks every item by itself and the references between items: a class that is some account's default, and a service
 * with endpoint traits or a version move, must be there.
 *
 * @param configuration - The configuration
 * @returns The configuration, or `InvalidConfiguration` whose `details.problems` lists every problem, one line each
 * @example
 * validateConfiguration(applyChange(current, change)).map(() => change);
 */
export function validateConfiguration(configuration: Configuration): Result<Configuration, Failure> {
    const problems = [
        ...listItems(configuration).flatMap(checkItem),
        ...checkAccounts(configuration),
        ...checkEndpointTraits(configuration),
        ...checkVersionMoves(configuration),
    ];
    return problems.length === 0 ? ok(configuration) : err(createConfigurationFailure(problems));
}

function checkItem(item: ItemChange): readonly string[] {
    const parsed = parseItem(item.kind, item.name, item.value, `${SECTIONS[item.kind]}.${item.name}`);
    return parsed.isOk() ? [] : parsed.error;
}

function checkAccounts(configuration: Configuration): readonly string[] {
    const accounts = Object.values(configuration.accounts);
    const owners = new Map<string, string>();
    return accounts.flatMap(account => {
        const path = `accounts.${account.name}`;
        const repeated = account.keyHashes.flatMap(hash => {
            const owner = owners.get(hash);
            owners.set(hash, account.name);
            return owner === undefined || owner === account.name
                ? []
                : [`${path}.keyHashes: shares a key with ${owner}`];
        });
        return Object.hasOwn(configuration.classes, account.defaultClass)
            ? repeated
            : [`${path}.defaultClass: there is no class ${account.defaultClass}`, ...repeated];
    });
}

function checkEndpointTraits(configuration: Configuration): readonly string[] {
    return Object.keys(configuration.endpointTraits).flatMap(name => {
        const [serviceName = ""] = name.split("/", 1);
        return Object.hasOwn(configuration.services, serviceName)
            ? []
            : [`endpointTraits.${name}: there is no service ${serviceName}`];
    });
}

function checkVersionMoves(configuration: Configuration): readonly string[] {
    const moves = Object.values(configuration.versionMoves);
    const moving = moves.filter(move => move.state === MoveState.Moving);
    return [
        ...moves.flatMap(move => checkMoveService(configuration, move)),
        ...moving
            .filter((move, index) => moving.findIndex(other => other.serviceName === move.serviceName) < index)
            .map(move => `versionMoves.${move.name}: the service ${move.serviceName} has another move in progress`),
    ];
}

function checkMoveService(configuration: Configuration, move: VersionMove): readonly string[] {
    return move.state !== MoveState.Moving || Object.hasOwn(configuration.services, move.serviceName)
        ? []
        : [`versionMoves.${move.name}: there is no service ${move.serviceName}`];
}
