/**
 * @module Checks of single configuration items, without their names.
 */
import { z } from "zod";
import { ItemKind, MoveState, ServiceKind } from "../model/configuration";
import {
    HIGHEST_COST_CEILING_MICROS,
    LONGEST_DEADLINE_MS,
    LONGEST_LATENCY_TARGET_MS,
    LONGEST_TOKEN_GAP_MS,
    MOST_KEYS_OF_ACCOUNT,
} from "./_lib/constants";

const ITEM_NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const TRAITS_NAME = /^[a-z0-9][a-z0-9._-]{0,62}\/(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,62})$/;
const VERSION = /^[A-Za-z0-9][A-Za-z0-9._:+-]{0,62}$/;
const KEY_HASH = /^[0-9a-f]{64}$/;

const nameText = z
    .string("must be text")
    .regex(ITEM_NAME, "must be 1 to 63 lower-case letters, digits, dots, hyphens or underscores")
    .refine(name => !(name in Object.prototype), "is a reserved name");
const traitsNameText = z.string("must be text").regex(TRAITS_NAME, "must be SERVICE/MACHINE-CLASS or SERVICE/*");
const versionText = z
    .string("must be text; put a number in quotes")
    .regex(VERSION, "must be 1 to 63 letters, digits, dots, colons, plus signs, hyphens or underscores");
const keyHash = z.string("must be text").regex(KEY_HASH, "must be a SHA-256 hash of 64 lower-case hexadecimal digits");
const flag = z.boolean("must be true or false");

const workClass = z
    .strictObject({
        latencyTargetMs: createInteger(1, LONGEST_LATENCY_TARGET_MS),
        tokenGapTargetMs: createInteger(1, LONGEST_TOKEN_GAP_MS),
        deadlineMs: createInteger(1, LONGEST_DEADLINE_MS),
        costCeilingMicros: createInteger(0, HIGHEST_COST_CEILING_MICROS),
        isIdempotent: flag,
    })
    .refine(value => value.deadlineMs >= value.latencyTargetMs, {
        path: ["deadlineMs"],
        message: "must not be before latencyTargetMs",
    });

const account = z.strictObject({
    keyHashes: z
        .array(keyHash, "must be a list")
        .max(MOST_KEYS_OF_ACCOUNT, `must have at most ${MOST_KEYS_OF_ACCOUNT} hashes`)
        .refine(hashes => new Set(hashes).size === hashes.length, "must not repeat a hash"),
    defaultClass: nameText,
});

const service = z.strictObject({
    kind: z.enum(ServiceKind, "must be model or application"),
    version: versionText,
});

const endpointTraits = z.strictObject({ checksFencing: flag });

const versionMove = z
    .strictObject({
        serviceName: nameText,
        fromVersion: versionText,
        toVersion: versionText,
        doneByWallMs: createInteger(1, Number.MAX_SAFE_INTEGER),
        state: z.enum(MoveState, "must be moving, done or taken_back"),
        share: z.number("must be a number").min(0, "must be at least 0").max(1, "must be at most 1"),
        reason: z.string("must be text").max(1_000, "must have at most 1000 characters"),
        startedWallMs: createInteger(1, Number.MAX_SAFE_INTEGER).optional(),
        steppedWallMs: createInteger(1, Number.MAX_SAFE_INTEGER).optional(),
    })
    .refine(value => value.fromVersion !== value.toVersion, {
        path: ["toVersion"],
        message: "must differ from fromVersion",
    });

/** Checks of item values by kind; the name stands beside the value. */
export const ITEM_SCHEMAS = {
    [ItemKind.Class]: workClass,
    [ItemKind.Account]: account,
    [ItemKind.Service]: service,
    [ItemKind.EndpointTraits]: endpointTraits,
    [ItemKind.VersionMove]: versionMove,
} as const;

/** Checks of item names by kind. */
export const NAME_SCHEMAS: Readonly<Record<ItemKind, z.ZodType<string>>> = {
    [ItemKind.Class]: nameText,
    [ItemKind.Account]: nameText,
    [ItemKind.Service]: nameText,
    [ItemKind.EndpointTraits]: traitsNameText,
    [ItemKind.VersionMove]: nameText,
};

function createInteger(low: number, high: number): z.ZodType<number> {
    const message = `must be a whole number from ${low} to ${high}`;
    return z.int(message).min(low, message).max(high, message);
}
