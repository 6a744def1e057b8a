/**
 * Command-line program that runs one node whose links to the backend servers can fail while everything else works.
 *
 * @packageDocumentation
 */
import { readFileSync } from "node:fs";
import { pathToFileURL } from "node:url";
import { GatewayDaemon, parseGatewaySettings, type PlatformAdapter } from "@pimentocleat/gateway";
import { ServerLinks, type LinkState } from "@pimentocleat/standins";
import { ConsolaLogger, TextMetrics } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";

/** What the module of the platform's adapter exports. */
interface AdapterModule {
    readonly buildPlatformAdapter: (settings: ReturnType<typeof parseGatewaySettings>) => PlatformAdapter;
}

/**
 * Runs a node until the process receives SIGTERM. SIGUSR2 lets its links fail, and the next one restores them.
 *
 * @param parameters - Path of the adapter's module, how the links fail, and path of the settings file.
 * @returns Exit code 0 after a graceful stop.
 */
export async function runLinkedNodeCommand(parameters: readonly string[]): Promise<number> {
    const [adapterPath = "", failure = "reset", settingsPath = ""] = parameters;
    const settings = parseGatewaySettings(readFileSync(settingsPath, "utf8"), settingsPath);
    const { buildPlatformAdapter } = (await import(pathToFileURL(adapterPath).href)) as AdapterModule;
    const links = new ServerLinks();
    let isOpen = true;
    process.on("SIGUSR2", () => {
        isOpen = !isOpen;
        links.setState(isOpen ? "open" : (failure as LinkState));
    });
    const stopRequested = new Promise<void>((resolve) => process.on("SIGTERM", resolve));
    const daemon = new GatewayDaemon({
        settings,
        adapter: buildPlatformAdapter(settings),
        clock: new SystemClock(),
        random: Math.random,
        logger: new ConsolaLogger({
            format: "json",
            level: "info",
            fields: { node: settings.name },
            writeLine: (line) => process.stdout.write(`${line}\n`),
        }),
        metrics: new TextMetrics(),
        openServerSocket: links.openSocket,
    });
    await daemon.start();
    await stopRequested;
    await daemon.stop();
    return 0;
}
