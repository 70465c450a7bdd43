/**
 * @module Configuration by the number of accounts.
 */
import { applyChange } from "../../src/decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../../src/decisions/configuration/createEmptyConfiguration";
import { type Account, type Configuration, type ItemChange, ItemKind } from "../../src/model/configuration";
import { validateConfiguration } from "../../src/queries/validateConfiguration";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { measureProcessor, readHeapBytes } from "./_lib/measureProcessor";

const SIZES = [100, 300, 1_000, 3_000];

/**
 * Measures the bytes of a change, the processor time of applying and checking it, and the memory of accounts.
 *
 * @returns The figures
 * @example
 * measureConfiguration();
 */
export function measureConfiguration(): Readonly<Record<string, NewFigure>> {
    const configurations = SIZES.map(size => [size, buildConfiguration(size)] as const);
    const change = { revision: 1, items: [buildAccountChange(0)] };
    const applied = configurations.map(([size, configuration]): Point => {
        const label = { what: "", unit: "µs" };
        return [size, measureProcessor(label, 20, () => void applyChange(configuration, change)).value];
    });
    const checked = configurations.map(([size, configuration]): Point => {
        const label = { what: "", unit: "µs" };
        return [size, measureProcessor(label, 5, () => void validateConfiguration(configuration)).value];
    });
    const heap = SIZES.map((size): Point => {
        const before = readHeapBytes();
        const configuration = buildConfiguration(size);
        const bytes = readHeapBytes() - before;
        return [size, Object.keys(configuration.accounts).length === size ? bytes : Number.NaN];
    });
    return {
        changeBytes: {
            what: "a change of one account, as JSON",
            unit: "bytes",
            value: Buffer.byteLength(JSON.stringify(change)),
        },
        changeApply: fitFigure({ what: "processor time of applying a change, for each account", unit: "µs" }, applied),
        changeCheck: fitFigure(
            {
                what: "processor time of checking a whole configuration (at the accepting node), for each account",
                unit: "µs",
            },
            checked,
        ),
        accountHeap: fitFigure({ what: "memory of the configuration, for each account", unit: "bytes" }, heap),
    };
}

function buildConfiguration(accounts: number): Configuration {
    const items = Array.from({ length: accounts }, (_unused, index) => buildAccount(index));
    const entries = items.map(account => [account.name, account] as const);
    const workClass = {
        name: "chat",
        latencyTargetMs: 1_200,
        tokenGapTargetMs: 28,
        deadlineMs: 60_000,
        costCeilingMicros: 10_000,
        isIdempotent: true,
    };
    return { ...createEmptyConfiguration(), accounts: Object.fromEntries(entries), classes: { chat: workClass } };
}

function buildAccount(index: number): Account {
    const keyHashes = [index.toString(16).padStart(64, "0"), (index + 1_000_000).toString(16).padStart(64, "0")];
    return { name: `account-${index}`, keyHashes, defaultClass: "chat" };
}

function buildAccountChange(index: number): ItemChange {
    return { kind: ItemKind.Account, name: `account-${index}`, value: buildAccount(index) };
}
