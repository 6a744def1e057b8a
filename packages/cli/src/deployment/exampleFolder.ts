/**
 * A copy of an example configuration that contains the addresses of running stand-ins.
 *
 * @packageDocumentation
 */
import { mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseConfiguration, type Configuration, type ConfigurationFile } from "@pimentocleat/schema";

/** Addresses of backend servers, by server name. */
export type ServerAddresses = ReadonlyMap<string, string>;

/** A temporary folder with a copy of an example configuration. */
export class ExampleFolder {
    private constructor(
        readonly path: string,
        readonly files: readonly ConfigurationFile[],
        readonly configuration: Configuration,
    ) {}

    /**
     * Reads an example and creates a temporary folder for its copy; {@link ExampleFolder.writeFiles} fills it.
     *
     * @param examplePath - Path of the example's folder.
     * @returns The copy, which the caller must remove.
     * @throws Error when the example is not valid.
     */
    static async copyExample(examplePath: string): Promise<ExampleFolder> {
        const names = (await readdir(examplePath)).filter((name) => name.endsWith(".yaml")).sort();
        const files = await Promise.all(
            names.map(async (name) => ({ name, content: await readFile(join(examplePath, name), "utf8") })),
        );
        const { configuration, problems } = parseConfiguration(files);
        if (configuration === undefined) {
            throw new Error(`the example ${examplePath} is not valid: ${JSON.stringify(problems)}`);
        }
        return new ExampleFolder(
            await mkdtemp(join(tmpdir(), "pimentocleat-example-")),
            files,
            configuration,
        );
    }

    /**
     * Writes the files, with the placeholder addresses of the servers replaced.
     *
     * @param addresses - Addresses of the running stand-ins; a server without one keeps its placeholder.
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

    /** Removes the folder. */
    async remove(): Promise<void> {
        await rm(this.path, { recursive: true, force: true });
    }
}

function convertAddresses(content: string, replacements: readonly (readonly [string, string])[]): string {
    const byPlaceholder = new Map(replacements);
    return content.replace(/\d+\.\d+\.\d+\.\d+:\d+/g, (address) => byPlaceholder.get(address) ?? address);
}
