/**
 * The folder that contains the operator's configuration files.
 *
 * @packageDocumentation
 */
import { mkdir, readdir, readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { ConfigurationFile } from "@pimentocleat/schema";
import { z } from "zod";
import { CommandError, ExitCode } from "../output/exitCodes.js";

const fileNamePattern = /^[A-Za-z0-9].*\.ya?ml$/;
const baseFileName = ".pimentocleat.json";

const baseSchema = z.object({
    revision: z.int().nonnegative(),
    files: z.record(z.string(), z.string()),
});

/** The stored revision that the folder was last synchronized with, and the digests of its files by name. */
export type FolderBase = z.infer<typeof baseSchema>;

function formatFailure(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}

/** Reads and writes one folder. */
export class ConfigurationFolder {
    /** @param path - Path of the folder. */
    constructor(readonly path: string) {}

    /**
     * Reads the YAML files.
     *
     * @returns The files, sorted by name.
     * @throws {@link CommandError} when the folder cannot be read.
     */
    async readFiles(): Promise<readonly ConfigurationFile[]> {
        try {
            const names = (await readdir(this.path)).filter((name) => fileNamePattern.test(name)).sort();
            return await Promise.all(
                names.map(async (name) => ({ name, content: await readFile(join(this.path, name), "utf8") })),
            );
        } catch (error) {
            throw new CommandError(ExitCode.WrongUsage, `the folder cannot be read: ${formatFailure(error)}`);
        }
    }

    /**
     * Reads the stored state that the folder was last synchronized with.
     *
     * @returns The base; empty before the first apply or pull.
     * @throws {@link CommandError} when the file that contains it is damaged.
     */
    async readBase(): Promise<FolderBase> {
        let text: string;
        try {
            text = await readFile(join(this.path, baseFileName), "utf8");
        } catch {
            return { revision: 0, files: {} };
        }
        try {
            return baseSchema.parse(JSON.parse(text));
        } catch {
            throw new CommandError(
                ExitCode.WrongUsage,
                `${join(this.path, baseFileName)} is damaged; remove it and run \`pimentocleat config pull\``,
            );
        }
    }

    /**
     * Writes the stored state that the folder is now synchronized with.
     *
     * @param base - The base of the next changes.
     */
    async writeBase(base: FolderBase): Promise<void> {
        await this.writeAtomically(baseFileName, `${JSON.stringify(base, undefined, 4)}\n`);
    }

    /**
     * Writes a configuration file, and creates the folder if needed.
     *
     * @param file - The file.
     */
    async writeFile(file: ConfigurationFile): Promise<void> {
        await mkdir(this.path, { recursive: true });
        await this.writeAtomically(file.name, file.content);
    }

    /** Writes a temporary file and renames it, so that a reader never sees partial content. */
    private async writeAtomically(name: string, content: string): Promise<void> {
        const path = join(this.path, name);
        const partPath = join(this.path, `.${name}.part`);
        await writeFile(partPath, content);
        await rename(partPath, path);
    }
}
