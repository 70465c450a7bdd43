/**
 * @module Putting generated tables into a page.
 */

/** The page that the tables stand in. */
export const PAGE_FILE = "docs/CAPACITY.md";

/**
 * Replaces what stands between `<!-- table: NAME -->` and `<!-- end -->`.
 *
 * @param page - The page
 * @param tables - Markdown by name
 * @returns The page with these tables; throws if it lacks the place for one of them
 * @example
 * replaceTables("<!-- table: a -->\nold\n<!-- end -->", { a: "new" });
 */
export function replaceTables(page: string, tables: Readonly<Record<string, string>>): string {
    return Object.entries(tables).reduce((text, [name, table]) => {
        const start = `<!-- table: ${name} -->`;
        const from = text.indexOf(start);
        const to = text.indexOf("<!-- end -->", from);
        if (from < 0 || to < 0) {
            throw new Error(`The page has no place for the table ${name}.`);
        }
        return `${text.slice(0, from + start.length)}\n\n${table}\n\n${text.slice(to)}`;
    }, page);
}
