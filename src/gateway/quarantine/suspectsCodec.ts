/**
 * @module The wire form of evidence on prompt parts. Each crash is named once, since one crash concerns many parts.
 */
import { z } from "zod";
import { CRASHES_PER_PART_MAX, SUSPECTS_MAX } from "../../decisions/relays/constants";
import type { SuspectParts } from "../../decisions/relays/news";

/** Names of crashes and parts that are longer than this are not taken. */
const NAME_LENGTH_MAX = 200;

const NAME = z.string().min(1).max(NAME_LENGTH_MAX);
const COUNT = z.number().nonnegative();
const INDEX = z.number().int().nonnegative();
const LISTS = z.tuple([z.array(z.unknown()), z.array(z.unknown())]);
/** The crash, and its age. */
const CRASH = z.tuple([NAME, COUNT]);
/** The part, places of its crashes in the list, clearances and earlier clearances. */
const PART = z.tuple([NAME, z.array(INDEX), COUNT, COUNT]);
const CRASHES = z.array(CRASH);
const PARTS = z.array(PART);

/** Evidence as it is sent: all crashes, and the parts. */
export type SuspectLists = [z.input<typeof CRASH>[], z.input<typeof PART>[]];

/**
 * Encodes evidence. Ages are rounded down, so that no crash becomes older by being passed on.
 *
 * @param suspects - The evidence, at most `SUSPECTS_MAX` parts
 * @returns The lists
 * @example
 * JSON.stringify(encodeSuspects(view.suspects));
 */
export function encodeSuspects(suspects: SuspectParts): SuspectLists {
    const agesMs = new Map<string, number>();
    for (const [key, ageMs] of Object.values(suspects).flatMap(({ crashes }) => Object.entries(crashes))) {
        agesMs.set(key, Math.max(Math.floor(ageMs), agesMs.get(key) ?? 0));
    }
    const places = new Map([...agesMs.keys()].map((key, place) => [key, place]));
    const parts = Object.entries(suspects).map(([part, evidence]): z.input<typeof PART> => [
        part,
        Object.keys(evidence.crashes).flatMap(key => places.get(key) ?? []),
        evidence.clearances,
        evidence.earlierClearances,
    ]);
    return [[...agesMs], parts];
}

/**
 * Decodes evidence. Entries that are malformed or beyond the limits are left out.
 *
 * @param value - What was sent; anything
 * @returns The evidence
 * @example
 * decodeSuspects([[["crash-1", 120]], [["part-1", [0], 0, 3]]])["part-1"]?.crashes; //=> { "crash-1": 120 }
 */
export function decodeSuspects(value: unknown): SuspectParts {
    const lists = LISTS.safeParse(value);
    if (!lists.success) {
        return {};
    }
    const [crashList, partList] = lists.data;
    const crashes = parseEach(crashList.slice(0, SUSPECTS_MAX * CRASHES_PER_PART_MAX), CRASHES);
    const parts = parseEach(partList.slice(0, SUSPECTS_MAX), PARTS).flatMap(part => (part === undefined ? [] : [part]));
    return Object.fromEntries(
        parts.flatMap(([part, places, clearances, earlierClearances]) => {
            const named = places.slice(0, CRASHES_PER_PART_MAX).flatMap(place => {
                const crash = crashes[place];
                return crash === undefined ? [] : [crash];
            });
            const evidence = { crashes: Object.fromEntries(named), clearances, earlierClearances };
            return named.length === 0 ? [] : [[part, evidence] as const];
        }),
    );
}

/** Parses a list as a whole, which is faster, or else each of its entries; `undefined` stands for a malformed one. */
function parseEach<T>(list: readonly unknown[], schema: z.ZodArray<z.ZodType<T>>): readonly (T | undefined)[] {
    const whole = schema.safeParse(list);
    return whole.success ? whole.data : list.map(entry => schema.element.safeParse(entry).data);
}
