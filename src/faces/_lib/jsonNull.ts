/**
 * @module JSON's null, for wire formats whose readers expect a field to be there and empty.
 */

/** JSON's null. Nothing inside the program uses it. */
// eslint-disable-next-line no-restricted-syntax -- the wire format asks for it
export const JSON_NULL = null;
