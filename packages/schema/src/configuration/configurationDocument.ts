/**
 * A parsed YAML file that maps each value to its line.
 *
 * @packageDocumentation
 */
import { isCollection, isNode, isPair, LineCounter, parseDocument, type Document } from "yaml";
import type { ConfigurationFile, ConfigurationProblem } from "./configurationProblem.js";

/** Mapping keys and list indexes that lead from the root of a file to a value. */
export type ValuePath = readonly (string | number)[];

interface ParsedTree {
    readonly document: Document;
    readonly lines: LineCounter;
}

/** A configuration file as a syntax tree with line numbers. */
export class ConfigurationDocument {
    private tree: ParsedTree | undefined;

    /** @param file - The file; it is parsed when it is first read. */
    constructor(readonly file: ConfigurationFile) {}

    /**
     * Lists the syntax errors of the YAML text.
     *
     * @returns One problem per error.
     */
    listSyntaxProblems(): readonly ConfigurationProblem[] {
        const { document, lines } = this.ensureTree();
        return document.errors.map((error) => ({
            file: this.file.name,
            line: lines.linePos(error.pos[0]).line,
            path: "",
            message: `the YAML text is wrong: ${error.message.split("\n")[0] ?? ""}`,
            mend: "correct the line",
        }));
    }

    /** Frees the syntax tree, which is many times larger than the text; the text is parsed again on demand. */
    releaseTree(): void {
        this.tree = undefined;
    }

    /**
     * Converts the content to plain values.
     *
     * @returns The root value; an empty mapping for an empty file, undefined when too many aliases are expanded.
     */
    readValue(): unknown {
        try {
            return this.ensureTree().document.toJS({ maxAliasCount: 100 }) ?? {};
        } catch {
            // The text expands too many aliases, which the syntax check does not detect.
            return undefined;
        }
    }

    /**
     * Finds the line of a value, or of its closest ancestor that exists.
     *
     * @param path - The path of the value.
     * @returns The line number, counted from 1.
     */
    findLine(path: ValuePath): number {
        for (let length = path.length; length > 0; length -= 1) {
            const offset = this.findOffset(path.slice(0, length));
            if (offset !== undefined) {
                return this.ensureTree().lines.linePos(offset).line;
            }
        }
        return 1;
    }

    private ensureTree(): ParsedTree {
        if (this.tree === undefined) {
            const lines = new LineCounter();
            const options = { lineCounter: lines, prettyErrors: false, uniqueKeys: true };
            this.tree = { document: parseDocument(this.file.content, options), lines };
        }
        return this.tree;
    }

    private findOffset(path: ValuePath): number | undefined {
        const { document } = this.ensureTree();
        const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
        if (!isCollection(parent)) {
            return undefined;
        }
        const last = path.at(-1);
        for (const [index, item] of parent.items.entries()) {
            if (isPair(item) && isNode(item.key) && String(item.key) === String(last)) {
                return item.key.range?.[0];
            }
            if (!isPair(item) && index === last && isNode(item)) {
                return item.range?.[0];
            }
        }
        return undefined;
    }
}

/**
 * Formats the path of a value for display.
 *
 * @param path - The path.
 * @returns A text such as `pools[0].servers[1].address`.
 */
export function formatPath(path: ValuePath): string {
    return path
        .map((step, index) =>
            typeof step === "number" ? `[${String(step)}]` : `${index === 0 ? "" : "."}${step}`,
        )
        .join("");
}

/**
 * Gets the value at a path.
 *
 * @param root - The root value.
 * @param path - The path of the value.
 * @returns The value, or undefined when a part of the path does not exist.
 */
export function getValueAt(root: unknown, path: ValuePath): unknown {
    let value = root;
    for (const step of path) {
        if (typeof value !== "object" || value === undefined) {
            return undefined;
        }
        value = (value as Record<string | number, unknown> | undefined)?.[step];
    }
    return value;
}
