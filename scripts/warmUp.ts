/**
 * Runs a node against the stand-ins and sends it requests, so that the code cache of the build contains the functions
 * that a node needs until it serves requests.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import {
    buildServerEntry,
    buildUsersConfiguration,
    findFreePort,
    sendUsersCall,
    UsersPlatformStandIn,
    UsersServerStandIn,
    usersStreamEventCount,
} from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";

/** Options of {@link runWarmUp}. */
export interface WarmUpOptions {
    /** Interpreter options, script and parameters; the path of the settings file is appended. */
    readonly command: readonly string[];
    /** Path at which the settings file is written. */
    readonly settingsPath: string;
}

/** Number of requests of each kind. */
const rounds = 5;
/** Number of attempts to get a first answer, and the pause between two, in milliseconds. */
const maximumAttempts = 100;
const attemptPauseMs = 50;
/** Maximum time of the whole run, in milliseconds. */
const timeoutMs = 20_000;
const successStatus = 200;

/**
 * Runs the node until it has served requests, then stops it with SIGTERM.
 *
 * @param options - How the node is started.
 * @returns Whether it served requests and stopped gracefully.
 */
export async function runWarmUp({ command, settingsPath }: WarmUpOptions): Promise<boolean> {
    const clock = new SystemClock();
    const platform = new UsersPlatformStandIn();
    const servers = [
        new UsersServerStandIn("plain-1", 0),
        new UsersServerStandIn("engine-1", usersStreamEventCount),
    ];
    const { store, cloud } = await platform.open();
    for (const [index, service] of ["plain", "engines"].entries()) {
        const server = servers[index]!;
        platform.rows.putJson("servers", server.id, buildServerEntry(service, await server.open()));
    }
    platform.rows.putJson("op", "config", buildUsersConfiguration(1));
    const settings = await buildSettings(store, cloud);
    writeFileSync(settingsPath, JSON.stringify(settings));
    const node = spawn(process.execPath, [...command, settingsPath], {
        stdio: ["ignore", "ignore", "inherit"],
        timeout: timeoutMs,
        killSignal: "SIGKILL",
    });
    const exited = once(node, "exit") as Promise<[number | null]>;
    try {
        const isServing = await sendCalls(settings.callerAddress, clock);
        node.kill("SIGTERM");
        const [code] = await exited;
        return isServing && code === 0;
    } finally {
        servers.forEach((server) => server.close());
        platform.close();
    }
}

async function sendCalls(address: string, clock: SystemClock): Promise<boolean> {
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
        const answer = await sendUsersCall(address, "/safe/look").catch(() => undefined);
        if (answer?.status === successStatus) {
            for (let round = 0; round < rounds; round += 1) {
                await sendUsersCall(address, "/safe/look");
                await sendUsersCall(address, "/unsafe/hold", { method: "POST", body: "{}" });
                await sendUsersCall(address, "/stream/ask", { method: "POST", body: "{}" });
            }
            return true;
        }
        await clock.wait(attemptPauseMs);
    }
    return false;
}

async function buildSettings(storeAddress: string, dutiesAddress: string) {
    const [callerPort, readinessPort, peerPort] = await Promise.all([
        findFreePort(),
        findFreePort(),
        findFreePort(),
    ]);
    return {
        name: "warm-up",
        dataCentre: "a",
        callerAddress: `127.0.0.1:${String(callerPort)}`,
        readinessAddress: `127.0.0.1:${String(readinessPort)}`,
        peerHost: "127.0.0.1",
        peerPorts: [peerPort, peerPort],
        storeAddress,
        dutiesAddress,
        isFirstStart: true,
        memoryMegabytes: 200,
        processorShare: 0.675,
        stopGraceSeconds: 2.4,
        leaseMs: 600,
        usageWindowSeconds: 1,
        usageDueSeconds: 10,
        retryWindowSeconds: 10,
        retryShare: 0.2,
        retrySlack: 60,
        configurationApplyMs: 2_000,
        leavingNoticeMs: 2_000,
    };
}
