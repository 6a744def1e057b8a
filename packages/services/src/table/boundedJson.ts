/**
 * Parses JSON that another program wrote, and that code which walks values recursively may get.
 *
 * @packageDocumentation
 */
import type { JsonValue } from "./tableService.js";

/** Maximum number of lists and objects inside each other. */
const maximumDepth = 64;

/**
 * Parses a text.
 *
 * @param text - The text.
 * @returns The value.
 * @throws SyntaxError when the text is not JSON or is nested too deeply.
 */
export function parseBoundedJson(text: string): JsonValue {
    if (isTooDeep(text)) {
        throw new SyntaxError(`more than ${String(maximumDepth)} lists and objects inside each other`);
    }
    return JSON.parse(text) as JsonValue;
}

function isTooDeep(text: string): boolean {
    let depth = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index += 1) {
        const character = text[index];
        if (character === '"') {
            isInString = !isInString;
        } else if (isInString) {
            index += character === "\\" ? 1 : 0;
        } else if (character === "[" || character === "{") {
            depth += 1;
            if (depth > maximumDepth) {
                return true;
            }
        } else if (character === "]" || character === "}") {
            depth -= 1;
        }
    }
    return false;
}
