/**
 * @module Reads options of commands.
 */
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { CommandOptions } from "../commandDefinition";
import { createUsageFailure } from "./createUsageFailure";

const BOOLEANS: Readonly<Record<string, boolean>> = { yes: true, true: true, no: false, false: false };
const MS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 };
const DURATION = /^(\d{1,9})(ms|s|m|h|d)?$/;

/** Converts an option's text; gives `undefined` where the text is not valid. */
export type OptionParser<T> = (text: string) => T | undefined;

/**
 * Reads an option that may be absent.
 *
 * @param options - All options
 * @param name - The option's name in camelCase
 * @param parse - Converts the text
 * @param expected - What the text must be, for the message
 * @returns The value, `undefined` if the option is absent, or a usage failure
 * @example
 * readOption(options, "share", parseInteger, "a whole number");
 */
export function readOption<T>(
    options: CommandOptions,
    name: string,
    parse: OptionParser<T>,
    expected: string,
): Result<T | undefined, Failure> {
    const given = options[name];
    if (given === undefined) {
        return ok(undefined);
    }
    const flag = `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
    if (Array.isArray(given)) {
        return err(createUsageFailure(`${flag} is given more than once.`));
    }
    const value = parse(String(given));
    return value === undefined ? err(createUsageFailure(`${flag} must be ${expected}.`)) : ok(value);
}

/**
 * Reads an option that must be there.
 *
 * @param options - All options
 * @param name - The option's name in camelCase
 * @param parse - Converts the text
 * @param expected - What the text must be, for the message
 * @returns The value, or a usage failure
 * @example
 * readRequiredOption(options, "to", parseText, "a version");
 */
export function readRequiredOption<T>(
    options: CommandOptions,
    name: string,
    parse: OptionParser<T>,
    expected: string,
): Result<T, Failure> {
    return readOption(options, name, parse, expected).andThen(value =>
        value === undefined
            ? err(
                  createUsageFailure(
                      `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)} must be given: ${expected}.`,
                  ),
              )
            : ok(value),
    );
}

/**
 * Takes any text.
 *
 * @param text - The option's text
 * @returns The text, or `undefined` if it is empty
 * @example
 * parseText("v2"); //=> "v2"
 */
export function parseText(text: string): string | undefined {
    return text === "" ? undefined : text;
}

/**
 * Parses a whole number that is not negative.
 *
 * @param text - The option's text
 * @returns The number, or `undefined`
 * @example
 * parseInteger("12"); //=> 12
 */
export function parseInteger(text: string): number | undefined {
    return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/**
 * Parses yes or no.
 *
 * @param text - `yes`, `no`, `true` or `false`
 * @returns Whether it is yes, or `undefined`
 * @example
 * parseBoolean("yes"); //=> true
 */
export function parseBoolean(text: string): boolean | undefined {
    return Object.hasOwn(BOOLEANS, text) ? BOOLEANS[text] : undefined;
}

/**
 * Parses a duration.
 *
 * @param text - A whole number with `ms`, `s`, `m`, `h` or `d`; without a unit, milliseconds
 * @returns Milliseconds, or `undefined`
 * @example
 * parseDuration("2m"); //=> 120_000
 */
export function parseDuration(text: string): number | undefined {
    const match = DURATION.exec(text);
    return match?.[1] === undefined ? undefined : Number(match[1]) * (MS_PER_UNIT[match[2] ?? "ms"] ?? 1);
}
