/**
 * Load on a server that names a limit or is cold, at many nodes that tell each other by messages with delays and losses.
 *
 * @packageDocumentation
 */
import { createRandom, HashRing } from "@pimentocleat/policy";
import { TextMetrics, type Logger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { ActiveConfiguration } from "../../../configuration/activeConfiguration.js";
import { Evacuations } from "../../../configuration/evacuations.js";
import type { ColdStartRule, GatewayConfiguration } from "../../../configuration/gatewayConfiguration.js";
import type { LimitMessage } from "../../../peers/limitMessages.js";
import type { PeerAddress } from "../../../peers/peerDirectory.js";
import type { RegisteredServer } from "../../backendServer.js";
import type { BrittleDirectory } from "../../brittleDirectory.js";
import { ColdDirectory } from "../../coldDirectory.js";
import { LimitDirectory } from "../../limitDirectory.js";
import { ServerDirectory } from "../../serverDirectory.js";
import { ServerPermits } from "../../serverPermits.js";

const stepMs = 5;
/** Span in which the requests to a server with a limit are counted, in milliseconds. */
export const spanMs = 4_000;
/** Time after which nodes know of a limit, in milliseconds. */
export const contactMs = 3_000;
const answerMs = 30;
const keeperCount = 4;
const messageLossShare = 0.03;
const maximumDelayMs = 30;
const noBrittle = { findAllowed: () => undefined } as unknown as BrittleDirectory;
const silentLogger: Logger = { writeEvent: () => undefined };

/** The only server. */
export const limitedServer: RegisteredServer = {
    id: "limited",
    version: 1,
    service: "plain",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 8,
    state: "ready",
    bornMs: 1,
    isReclaimable: false,
};

/** One node. */
export interface SimulatedNode {
    readonly name: string;
    readonly limits: LimitDirectory;
    readonly permits: ServerPermits;
    readonly cold: ColdDirectory;
    readonly directory: ServerDirectory;
    readonly evacuations: Evacuations;
    /** Whether a connection to the server is open. */
    isConnected: boolean;
    isStopped: boolean;
}

/** Simulates the nodes, the messages between them and one server. */
export class Simulation {
    readonly clock = new ManualClock();
    readonly nodes: readonly SimulatedNode[];
    readonly arrivedMs: number[] = [];
    namedLimit: number | undefined;
    /** Nodes that hear only each other; the others hear each other too. */
    cutOff: ReadonlySet<string> = new Set();
    private isDown = false;
    private server = limitedServer;
    /** A node whose registration some nodes have not read, and those nodes. */
    newcomer: string | undefined;
    uninformed: ReadonlySet<string> = new Set();
    private readonly random: () => number;
    private readonly ring: HashRing;
    private readonly stopping: AbortController[] = [];
    private actions: { readonly dueMs: number; readonly run: () => void }[] = [];

    /**
     * @param count - Number of nodes.
     * @param seed - Seed of the messages' delays and losses and of the requests.
     * @param coldStart - How the server behaves after it starts; undefined when it is never cold.
     */
    constructor(
        count: number,
        seed: number,
        private readonly coldStart?: ColdStartRule,
    ) {
        this.random = createRandom(seed);
        const names = Array.from({ length: count }, (...[, index]) => `node-${String(index)}`);
        this.ring = new HashRing(names);
        this.nodes = names.map((name) => this.buildNode(name));
    }

    listKeepers(): readonly string[] {
        return this.ring.listSuccessors(limitedServer.id, keeperCount);
    }

    findNode(name: string): SimulatedNode {
        return this.nodes.find((node) => node.name === name)!;
    }

    /** Runs for a time in which requests arrive at random nodes. */
    async run(durationMs: number, requestsPerSecond: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            this.clock.advance(stepMs);
            const nowMs = this.clock.monotonicMs();
            const due = this.actions.filter(({ dueMs }) => dueMs <= nowMs);
            this.actions = this.actions.filter(({ dueMs }) => dueMs > nowMs);
            due.forEach(({ run }) => run());
            if (this.random() < (requestsPerSecond * stepMs) / 1_000) {
                void this.offerRequest(this.nodes[Math.floor(this.random() * this.nodes.length)]!);
            }
            await new Promise((resolve) => setImmediate(resolve));
        }
    }

    /**
     * Lets the server lose its connections and start again; only nodes with a connection notice.
     *
     * @param downMs - Time until it takes requests again, in milliseconds.
     * @param rowMs - Time from then until nodes know its registration, in milliseconds.
     * @param durationMs - Time for which it is cold, in milliseconds.
     */
    restartServer(downMs: number, rowMs: number, durationMs: number): void {
        this.isDown = true;
        for (const node of this.nodes.filter(({ isConnected }) => isConnected)) {
            node.isConnected = false;
            const { server } = this;
            this.plan(this.random() * maximumDelayMs, () => node.cold.recordLoss(server));
        }
        this.plan(downMs, () => {
            this.isDown = false;
            const bornMs = (this.server.bornMs ?? 0) + 1;
            this.server = { ...this.server, bornMs };
        });
        this.plan(downMs + rowMs, () => {
            const row = { ...this.server, version: this.server.version + 1 };
            this.server = row;
            const remainingColdMs = Math.max(0, durationMs - rowMs);
            this.nodes.forEach((node) => this.updateRow(node, { ...row, remainingColdMs }));
        });
    }

    /** Counts the requests of the second in which the server got the most, in a time. */
    countMostInSecond(fromMs: number, toMs: number): number {
        const arrivals = this.arrivedMs.filter((atMs) => atMs >= fromMs && atMs < toMs);
        const counts = arrivals.map(
            (startMs) => arrivals.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length,
        );
        return Math.max(0, ...counts);
    }

    private updateRow(node: SimulatedNode, row: RegisteredServer): void {
        this.plan(this.random() * maximumDelayMs, () => node.directory.updateServers([row], []));
    }

    stop(): void {
        this.stopping.forEach((controller) => controller.abort());
    }

    /** Counts the requests of the span in which the server got the most, from a time on. */
    countMost(fromMs: number): number {
        const arrivals = this.arrivedMs.filter((atMs) => atMs >= fromMs);
        const counts = arrivals.map(
            (startMs) => arrivals.filter((atMs) => atMs >= startMs && atMs < startMs + spanMs).length,
        );
        return Math.max(0, ...counts);
    }

    private async offerRequest(node: SimulatedNode): Promise<void> {
        if (node.isStopped || node.permits.computeClosedMs(limitedServer, 0) > 0) {
            return;
        }
        const isAllowed =
            !node.permits.isLimited(limitedServer) ||
            (await node.permits.requestPermit(limitedServer, { priority: 0, patienceMs: 0 }));
        if (!isAllowed || node.isStopped || this.isDown) {
            return;
        }
        node.isConnected = true;
        const sentMs = this.clock.monotonicMs();
        this.arrivedMs.push(sentMs);
        const { namedLimit } = this;
        this.plan(answerMs, () => {
            const limit =
                namedLimit === undefined
                    ? ({ type: "none" } as const)
                    : ({ type: "limit", perSecond: namedLimit } as const);
            node.limits.recordAnswer(limitedServer, limit, sentMs);
            node.cold.recordAnswer(limitedServer, sentMs, undefined);
        });
    }

    private plan(delayMs: number, run: () => void): void {
        this.actions.push({ dueMs: this.clock.monotonicMs() + delayMs, run });
    }

    private buildNode(name: string): SimulatedNode {
        const { clock, random } = this;
        const listOthers = (): readonly SimulatedNode[] => this.nodes.filter((node) => node.name !== name);
        const convert = (node: SimulatedNode): PeerAddress => ({
            host: node.name,
            port: 1,
            dataCentre: "a",
            processorShare: 1,
        });
        const knows = (other: string): boolean =>
            other !== this.newcomer || name === other || !this.uninformed.has(name);
        const listKeepers = (heard: readonly string[]): readonly string[] => {
            const names = this.nodes
                .map((node) => node.name)
                .filter((other) => knows(other) || heard.includes(other));
            return names.length === this.nodes.length
                ? this.listKeepers()
                : new HashRing(names).listSuccessors(limitedServer.id, keeperCount);
        };
        const send = (to: string, message: LimitMessage): boolean => {
            if (!knows(to)) {
                return false;
            }
            const isCutOff = this.cutOff.has(name) !== this.cutOff.has(to);
            if (!isCutOff && !this.findNode(name).isStopped && random() >= messageLossShare) {
                this.plan(random() * maximumDelayMs, () => {
                    const receiver = this.findNode(to);
                    if (!receiver.isStopped) {
                        receiver.permits.receiveMessage(message, name);
                    }
                });
            }
            return true;
        };
        const metrics = new TextMetrics();
        const logger = silentLogger;
        const shared = {
            clock,
            random,
            logger,
            metrics,
            listPeers: () => listOthers().slice(0, 24).map(convert),
            listOtherKeepers: () => {
                const keepers = listKeepers([]);
                return keepers.includes(name)
                    ? keepers
                          .filter((keeper) => keeper !== name)
                          .map((keeper) => convert(this.findNode(keeper)))
                    : [];
            },
            chooseRandomPeers: (count: number) =>
                Array.from({ length: count }, () => {
                    const others = listOthers();
                    return convert(others[Math.floor(random() * others.length)]!);
                }),
            send: (message: LimitMessage, peers: readonly PeerAddress[]) =>
                peers.forEach(({ host }) => send(host, message)),
        };
        const limits = new LimitDirectory(shared);
        const directory = new ServerDirectory(logger);
        const configuration = new ActiveConfiguration(logger);
        configuration.applyConfiguration(buildConfiguration(this.coldStart));
        const evacuations = new Evacuations({ isEnabled: false, logger, metrics });
        const cold = new ColdDirectory({
            ...shared,
            directory,
            configuration,
            evacuations,
            coldOverage: 1.5,
            coldSlack: 5,
            isFirstStart: true,
            hasOpenConnection: () => this.findNode(name).isConnected,
        });
        directory.setServers([{ ...limitedServer, remainingColdMs: 0 }], 1);
        const permits = new ServerPermits({
            name,
            clock,
            metrics: new TextMetrics(),
            limits,
            brittle: noBrittle,
            cold,
            listKeepers: (...[, heard]) => listKeepers(heard),
            send,
        });
        const controller = new AbortController();
        this.stopping.push(controller);
        void limits.run(controller.signal);
        void cold.run(controller.signal);
        return {
            name,
            limits,
            permits,
            cold,
            directory,
            evacuations,
            isConnected: false,
            isStopped: false,
        };
    }
}

function buildConfiguration(coldStart: ColdStartRule | undefined): GatewayConfiguration {
    const service = {
        name: "plain",
        maximumConnections: 1,
        engine: undefined,
        ordering: undefined,
        coldStart,
    };
    const bounds = { maximumBodyBytes: 1, idleTimeoutMs: 1 };
    return { version: 1, routes: [], services: [service], customers: undefined, bounds };
}
