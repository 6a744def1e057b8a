/**
 * The folder with the operator's configuration files.
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

/** What the folder was last in step with: the digests of the files by name. */
export type FolderBase = z.infer<typeof baseSchema>;

function formatFailure(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}

/** Reads and writes one folder. */
export class ConfigurationFolder {
    /** @param path - Path of the folder. */
    constructor(readonly path: string) {}

    /** @returns The YAML files, in the order of their names. */
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

    /** @returns What the folder was last in step with; empty before the first apply. */
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

    /** @param base - What the folder is now in step with. */
    async writeBase(base: FolderBase): Promise<void> {
        await this.writeAtomically(baseFileName, `${JSON.stringify(base, undefined, 4)}\n`);
    }

    /** @param file - A file to write. */
    async writeFile(file: ConfigurationFile): Promise<void> {
        await mkdir(this.path, { recursive: true });
        await this.writeAtomically(file.name, file.content);
    }

    /** Writes beside the file and renames, so that a reader never sees half of it. */
    private async writeAtomically(name: string, content: string): Promise<void> {
        const path = join(this.path, name);
        const partPath = join(this.path, `.${name}.part`);
        await writeFile(partPath, content);
        await rename(partPath, path);
    }
}
