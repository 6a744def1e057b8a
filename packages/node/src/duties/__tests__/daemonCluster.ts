/**
 * Real daemons, run as child processes against a platform stand-in.
 *
 * @packageDocumentation
 */
import { fileURLToPath } from "node:url";
import { HttpTableService } from "@pimentocleat/services";
import {
    launchFile,
    startPlatform,
    type LaunchedProgram,
    type RunningPlatform,
} from "@pimentocleat/standins";
import { computeContentDigest, TableConfigurationStore } from "@pimentocleat/state";
import { SystemClock } from "@pimentocleat/types";

const daemonPath = fileURLToPath(new URL("../../../../cli/bin/pimentocleatd.js", import.meta.url));
const secret = "a-secret-for-these-tests-alone";
const stderrTailLength = 3_000;
const fileName = "all.yaml";

/** A platform stand-in and the daemons that use it. */
export class DaemonCluster {
    readonly daemons = new Map<string, LaunchedProgram>();
    private readonly seeds: string[] = [];
    private readonly store: TableConfigurationStore;
    private baseDigest: string | undefined;

    private constructor(
        readonly platform: RunningPlatform,
        private readonly table: HttpTableService,
    ) {
        const clock = new SystemClock();
        this.store = new TableConfigurationStore({ tableService: table, clock, random: Math.random });
    }

    /** Starts a platform that ignores fencing numbers. */
    static async create(): Promise<DaemonCluster> {
        const platform = await startPlatform({ checksFencing: false });
        return new DaemonCluster(platform, new HttpTableService({ address: platform.address }));
    }

    /** Starts a daemon, or the next incarnation of one. */
    async startDaemon(name: string): Promise<void> {
        const daemon = await launchFile(daemonPath, [], {
            environment: {
                ...process.env,
                PIMENTOCLEAT_NAME: name,
                PIMENTOCLEAT_DATA_CENTRE: "catania",
                PIMENTOCLEAT_PLATFORM_ADDRESS: this.platform.address,
                PIMENTOCLEAT_PEER_SECRET: secret,
                PIMENTOCLEAT_OPERATOR_CREDENTIAL: secret,
                PIMENTOCLEAT_CALLER_ADDRESS: "127.0.0.1:0",
                PIMENTOCLEAT_OPERATOR_ADDRESS: "127.0.0.1:0",
                PIMENTOCLEAT_PEER_ADDRESS: "127.0.0.1:0",
                PIMENTOCLEAT_PEER_SEEDS: this.seeds.join(","),
                PIMENTOCLEAT_DRAIN_DELAY_MS: "0",
            },
        });
        this.daemons.set(name, daemon);
        this.seeds.push(/^peer (\S+)$/m.exec(daemon.readStdout())?.[1] ?? "");
    }

    /** Applies a configuration of one file; returns the type of the result. */
    async applyConfiguration(content: string): Promise<string> {
        const changes = [{ name: fileName, content, baseDigest: this.baseDigest }];
        this.baseDigest = computeContentDigest(content);
        return (await this.store.applyChanges({ author: "test", changes })).type;
    }

    /** Stops all daemons gracefully; returns the exit status and the end of stderr of those that failed. */
    async close(): Promise<readonly string[]> {
        this.daemons.forEach((daemon) => daemon.sendSignal("SIGCONT"));
        const failures = await Promise.all(
            [...this.daemons].map(([name, daemon]) => stopDaemon(name, daemon)),
        );
        await this.table.close();
        await this.platform.close();
        return failures.flat();
    }
}

async function stopDaemon(name: string, daemon: LaunchedProgram): Promise<readonly string[]> {
    const { code, signal } = await daemon.stop();
    const stderrTail = daemon.readStderr().slice(-stderrTailLength);
    return code === 0 ? [] : [`${name}: code ${String(code)}, signal ${String(signal)}: ${stderrTail}`];
}
