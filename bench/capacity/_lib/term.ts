/**
 * @module Values that carry the formula they come from.
 */
import type { Figures } from "./figures";

/** A value and how it was worked out. */
export interface Term {
    readonly text: string;
    readonly value: number;
    /** True for a sum, which is put in brackets as a factor. */
    readonly isSum?: boolean;
}

/**
 * Takes a number into a formula.
 *
 * @param value - The number
 * @param name - What it is (default: none)
 * @returns The term
 * @example
 * takeNumber(400, "nodes").text; //=> "400 nodes"
 */
export function takeNumber(value: number, name = ""): Term {
    return { text: `${formatValue(value)}${name === "" ? "" : ` ${name}`}`, value };
}

/**
 * Takes a figure's value into a formula: its slope or its mean.
 *
 * @param figures - The figures
 * @param name - Name of the figure
 * @returns The term, written as the figure's name; not a number if it was not measured
 * @example
 * takeFigure(figures, "logLine");
 */
export function takeFigure(figures: Figures, name: string): Term {
    return { text: `\`${name}\``, value: figures[name]?.value ?? Number.NaN };
}

/**
 * Reads a figure at a place: as measured there, else by its line.
 *
 * @param figures - The figures
 * @param name - Name of the figure
 * @param place - Where
 * @returns The term, written `name[place]` if measured there and `name(place)` if by the line
 * @example
 * readFigureAt(figures, "membershipHeap", 400).text; //=> "`membershipHeap[400]`"
 */
export function readFigureAt(figures: Figures, name: string, place: number): Term {
    const figure = figures[name];
    const point = figure?.points?.find(([x]) => x === place);
    return point === undefined
        ? {
              text: `\`${name}(${place})\``,
              value: (figure?.fixed ?? Number.NaN) + (figure?.value ?? Number.NaN) * place,
          }
        : { text: `\`${name}[${place}]\``, value: point[1] };
}

/**
 * Sums terms.
 *
 * @param terms - The terms
 * @returns Their sum
 * @example
 * sumTerms(takeNumber(1), takeNumber(2)).text; //=> "1 + 2"
 */
export function sumTerms(...terms: readonly Term[]): Term {
    return {
        text: terms.map(({ text }) => text).join(" + "),
        value: terms.reduce((sum, { value }) => sum + value, 0),
        isSum: true,
    };
}

/**
 * Computes a product; sums in it are put in brackets.
 *
 * @param terms - The factors
 * @returns Their product
 * @example
 * computeProduct(takeNumber(2), sumTerms(takeNumber(1), takeNumber(2))).text; //=> "2 × (1 + 2)"
 */
export function computeProduct(...terms: readonly Term[]): Term {
    return {
        text: terms.map(formatFactor).join(" × "),
        value: terms.reduce((product, { value }) => product * value, 1),
    };
}

/**
 * Computes a quotient.
 *
 * @param dividend - What is divided
 * @param divisor - By what
 * @returns The quotient
 * @example
 * computeQuotient(takeNumber(6_400), takeNumber(400)).value; //=> 16
 */
export function computeQuotient(dividend: Term, divisor: Term): Term {
    const needsBrackets = /[×÷+]/.test(divisor.text);
    const right = needsBrackets ? `(${divisor.text})` : divisor.text;
    return { text: `${formatFactor(dividend)} ÷ ${right}`, value: dividend.value / divisor.value };
}

/**
 * Formats a value with about three digits.
 *
 * @param value - The value
 * @returns Text with thousands separated by commas
 * @example
 * formatValue(1_234.5); //=> "1,235"
 */
export function formatValue(value: number): string {
    if (!Number.isFinite(value)) {
        return "not measured";
    }
    const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : Math.abs(value) >= 0.1 ? 2 : 4;
    return value.toLocaleString("en-US", { maximumFractionDigits: digits });
}

function formatFactor({ text, isSum }: Term): string {
    return isSum === true ? `(${text})` : text;
}
