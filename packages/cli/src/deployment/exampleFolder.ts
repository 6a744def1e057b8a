/**
 * A copy of an example configuration with the addresses of running stand-ins.
 *
 * @packageDocumentation
 */
import { mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseConfiguration, type Configuration, type ConfigurationFile } from "@pimentocleat/schema";

/** Addresses by the name of the backend server. */
export type ServerAddresses = ReadonlyMap<string, string>;

/** A temporary configuration folder. */
export class ExampleFolder {
    private constructor(
        readonly path: string,
        readonly files: readonly ConfigurationFile[],
        readonly configuration: Configuration,
    ) {}

    /**
     * Copies an example.
     *
     * @param examplePath - The example's folder.
     * @returns The copy; the caller removes it.
     * @throws Error when the example is not valid.
     */
    static async copyExample(examplePath: string): Promise<ExampleFolder> {
        const names = (await readdir(examplePath)).filter((name) => name.endsWith(".yaml")).sort();
        const files = await Promise.all(
            names.map(async (name) => ({ name, content: await readFile(join(examplePath, name), "utf8") })),
        );
        const { configuration, problems } = parseConfiguration(files);
        if (configuration === undefined) {
            throw new Error(`the example is not valid: ${JSON.stringify(problems)}`);
        }
        return new ExampleFolder(
            await mkdtemp(join(tmpdir(), "pimentocleat-example-")),
            files,
            configuration,
        );
    }

    /**
     * Writes the files, with the servers' placeholder addresses replaced.
     *
     * @param addresses - Addresses of the running stand-ins.
     */
    async writeFiles(addresses: ServerAddresses): Promise<void> {
        const replacements = this.configuration.pools.flatMap((pool) =>
            pool.servers.map(
                (server) => [server.address, addresses.get(server.name) ?? server.address] as const,
            ),
        );
        for (const file of this.files) {
            const content = convertAddresses(file.content, replacements);
            await writeFile(join(this.path, file.name), content);
        }
    }

    /** Removes the copy. */
    async remove(): Promise<void> {
        await rm(this.path, { recursive: true, force: true });
    }
}

function convertAddresses(content: string, replacements: readonly (readonly [string, string])[]): string {
    const byPlaceholder = new Map(replacements);
    return content.replace(/\d+\.\d+\.\d+\.\d+:\d+/g, (address) => byPlaceholder.get(address) ?? address);
}
