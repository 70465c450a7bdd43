/**
 * @module The platform's VM list, which each node reads whole.
 */
import { z } from "zod";
import { vmSchema } from "../../src/adapters/httpVmList/vmSchema";
import type { VmPrice } from "../../src/ports/cloud";
import { EMPTY_DIRECTORY } from "../../src/tasks/directory/directoryState";
import { mergeVmList } from "../../src/tasks/directory/mergeVmList";
import { buildVms } from "./_lib/buildVms";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { measureProcessor, readHeapBytes } from "./_lib/measureProcessor";

const SIZES = [100, 400, 1_600, 3_600];
const listSchema = z.object({ vms: z.array(vmSchema) });

/**
 * Measures the bytes of the list, the processor time of reading and merging it, and its memory.
 *
 * @returns The figures
 * @example
 * measureDirectory();
 */
export function measureDirectory(): Readonly<Record<string, NewFigure>> {
    const texts = SIZES.map(size => [size, JSON.stringify({ vms: buildVms(size, { services: 10 }) })] as const);
    const processor = texts.map(([size, text]): Point => {
        let state = EMPTY_DIRECTORY;
        const read = (turn: number) => {
            const { vms } = listSchema.parse(JSON.parse(text));
            state = mergeVmList(state, vms, 1_000 * turn);
            const shown = [...state.entries.values()];
            // The task compares each record with the one before in the same way.
            shown.forEach(entry => JSON.stringify(entry.record) === JSON.stringify(entry.record));
        };
        return [size, measureProcessor({ what: "", unit: "µs" }, 5, read).value];
    });
    const heap = texts.map(([size, text]): Point => {
        const before = readHeapBytes();
        const state = mergeVmList(EMPTY_DIRECTORY, listSchema.parse(JSON.parse(text)).vms, 1_000);
        const bytes = readHeapBytes() - before;
        return [size, state.entries.size === size ? bytes : Number.NaN];
    });
    const bytes = texts.map(([size, text]): Point => [size, Buffer.byteLength(text)]);
    return {
        priceBytes: {
            what: "prices of 15 domains and 4 machine classes, reclaimable and not",
            unit: "bytes",
            value: Buffer.byteLength(JSON.stringify({ prices: buildPrices() })),
        },
        listBytes: fitFigure({ what: "the platform's VM list, for each VM", unit: "bytes" }, bytes),
        listProcessor: fitFigure(
            { what: "processor time of parsing, checking and merging the list, for each VM", unit: "µs" },
            processor,
        ),
        listHeap: fitFigure({ what: "memory of the directory, for each VM", unit: "bytes" }, heap),
    };
}

function buildPrices(): readonly VmPrice[] {
    return buildVms(120, { services: 1 }).map(({ region, failureDomain, machineClass, isReclaimable }) => ({
        region,
        failureDomain,
        machineClass,
        isReclaimable,
        microsPerHour: 1_234_567,
    }));
}
