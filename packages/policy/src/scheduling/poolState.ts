/**
 * The components of a pool's scheduler and the operations that span several of them.
 *
 * @packageDocumentation
 */
import { AdmissionController } from "../admission/admissionController.js";
import { LentSlots } from "../capacity/lentSlots.js";
import { PeerDemand } from "../capacity/peerDemand.js";
import type { SlotPolicy } from "../capacity/slotPolicy.js";
import { FloorEnforcer } from "../fairness/floorEnforcer.js";
import { PeerServedTokens } from "../fairness/peerServedTokens.js";
import { ServerRouter } from "../routing/serverRouter.js";
import type { ClassQueue } from "./classQueue.js";
import { ClassRegistry } from "./classRegistry.js";
import type {
    AttemptOutcome,
    LoadReport,
    PoolConfiguration,
    PoolSummary,
    QueuedRequest,
} from "./poolScheduler.js";
import { QueueOrder } from "./queueOrder.js";
import type { RunningRequest } from "./runningRequests.js";
import { RunningRequests } from "./runningRequests.js";
import type { SchedulerOptions } from "./schedulerOptions.js";
import type { WaitingRequest } from "./waitingRequests.js";
import { WaitingRequests } from "./waitingRequests.js";

/** Holds the scheduling state of one pool on one node. */
export class PoolState {
    readonly classes = new ClassRegistry();
    readonly waiting = new WaitingRequests();
    readonly running = new RunningRequests();
    readonly router = new ServerRouter();
    readonly peerServedTokens = new PeerServedTokens();
    readonly peerDemand = new PeerDemand();
    readonly slots: SlotPolicy;
    readonly order: QueueOrder;
    readonly floors: FloorEnforcer;
    readonly admission: AdmissionController;
    private configuration: PoolConfiguration;

    /** @param options - The options of the scheduler. */
    constructor(private readonly options: SchedulerOptions) {
        this.configuration = options.configuration;
        this.slots = options.createSlotPolicy?.() ?? this.buildLentSlots();
        this.floors = new FloorEnforcer(options.node, this.peerDemand);
        this.order = options.createOrder?.(this.floors) ?? new QueueOrder(this.floors, options.clock);
        this.admission = new AdmissionController(this.peerDemand);
        this.updateConfiguration(options.configuration);
    }

    /** @returns The pool's name. */
    readPoolName(): string {
        return this.configuration.pool.name;
    }

    /**
     * Applies a configuration.
     *
     * @param configuration - The new configuration.
     * @returns The waiting requests whose class the configuration no longer has.
     */
    updateConfiguration(configuration: PoolConfiguration): WaitingRequest[] {
        this.configuration = configuration;
        this.classes.updateConfiguration(configuration, this.options.clock.monotonicMs());
        const classes = this.classes.listFromLowestTier();
        this.order.updateClasses(classes);
        this.admission.updateClasses(classes);
        this.router.updateServers(configuration.pool.servers);
        this.updateSlots();
        return [...this.waiting.list()].filter(({ classQueue }) => !classes.includes(classQueue));
    }

    /** Updates the slot policy with the servers that accept new requests. */
    updateSlots(): void {
        const servers = [];
        for (const { settings, health, reportedSlots } of this.router.listServers()) {
            if (health.readLeavesAtMs() === undefined) {
                const slots = Math.min(settings.slots, reportedSlots ?? settings.slots);
                servers.push({ name: settings.name, slots });
            }
        }
        this.slots.updateServers(servers);
    }

    /** Updates the slot policy with the demand that is waiting on this node. */
    updateDemand(): void {
        this.slots.updateDemand(this.classes.findDemand(), this.order.findOwedClass() !== undefined);
    }

    /**
     * Checks whether a request of a tier could start now.
     *
     * @param tier - The tier.
     * @returns Whether a server accepts requests and has a free slot for the tier.
     */
    hasFreeSlot(tier: number): boolean {
        const nowMs = this.options.clock.monotonicMs();
        return this.router.hasFreeServer(tier, nowMs, (name) => this.slots.countFree(name, tier));
    }

    /**
     * Adds a request to the queue of its class.
     *
     * @param request - The request.
     * @param classQueue - The class of the request.
     * @param latestStartMs - The start deadline, in monotonic milliseconds.
     * @param isRequeued - Whether the request goes before every customer's queue.
     */
    addWaiting(
        request: QueuedRequest,
        classQueue: ClassQueue,
        latestStartMs: number,
        isRequeued: boolean,
    ): void {
        if (classQueue.queue.countWaiting() === 0) {
            this.order.advanceVirtualTime(classQueue);
            classQueue.activeSinceMs = this.options.clock.monotonicMs();
        }
        const entry = { request, latestStartMs, removed: false };
        this.waiting.add({ request, classQueue, entry, isRequeued });
    }

    /**
     * Records that a request starts on a server.
     *
     * @param request - The request.
     * @param classQueue - The class of the request.
     * @param server - The server.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    startRunning(request: QueuedRequest, classQueue: ClassQueue, server: string, nowMs: number): void {
        this.running.add(request, classQueue, server, nowMs);
        this.acquireSlot(request.requestId, server, classQueue.settings.tier);
        this.router.prefixIndex.addBlocks(server, request.prefixBlocks);
    }

    /** Records that a running request is moved to another server. */
    moveRunning(running: RunningRequest, server: string): void {
        running.previousServer = running.server;
        running.server = server;
        this.acquireSlot(running.request.requestId, server, running.classQueue.settings.tier);
    }

    /**
     * Records the end of an attempt, frees its slot and updates the estimates.
     *
     * @param running - The request.
     * @param outcome - The outcome of the attempt.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    finishRunning(running: RunningRequest, outcome: AttemptOutcome, nowMs: number): void {
        const { classQueue, request, server } = running;
        const holdingMs = nowMs - running.startedMs;
        this.running.remove(running, nowMs);
        this.waiting.removeById(request.requestId);
        this.releaseSlot(request.requestId, server);
        const health = this.router.findServer(server)?.health;
        health?.recordOutcome(outcome, nowMs);
        if (outcome !== "completed") {
            return;
        }
        classQueue.holdingMs.record(holdingMs);
        if (running.tokens > 0) {
            classQueue.tokens.record(running.tokens);
        } else {
            classQueue.firstTokenMs.record(holdingMs);
            health?.recordPace(holdingMs);
        }
    }

    /** Releases the slot that a request held on a server. */
    releaseSlot(requestId: string, server: string): void {
        const state = this.router.findServer(server);
        if (state !== undefined) {
            state.running -= 1;
        }
        this.slots.recordEnd(requestId, server);
    }

    /**
     * Records the load report of a server. A report that was taken well after the server's announced departure makes
     * the server usable again.
     *
     * @param report - The load report.
     */
    recordLoadReport(report: LoadReport): void {
        const server = this.router.findServer(report.server);
        if (server === undefined) {
            return;
        }
        server.reportedWaiting = report.waitingRequests;
        const takenAtMs = this.options.clock.monotonicMs() - report.ageMs;
        if (server.health.recordReturn(takenAtMs)) {
            this.updateSlots();
        }
        this.slots.recordLoadReport(report);
        if (server.reportedSlots !== report.slots) {
            server.reportedSlots = report.slots;
            this.updateSlots();
        }
    }

    /** Records the pool summary of another node. */
    recordPeerSummary(summary: PoolSummary): void {
        this.slots.recordPeerSummary(summary);
        const starts = this.peerDemand.recordSummary(summary, this.options.clock.monotonicMs());
        this.floors.recordPeerStarts(starts, this.classes.listFromLowestTier());
        for (const { requestClass, customer, tokens } of this.peerServedTokens.recordSummary(summary)) {
            this.classes.find(requestClass)?.queue.recordServed(customer, tokens);
        }
    }

    /** Removes the state of a node that is no longer a member. */
    removePeer(node: string): void {
        this.slots.removePeer(node);
        this.peerServedTokens.removePeer(node);
        this.peerDemand.removePeer(node);
    }

    private acquireSlot(requestId: string, server: string, tier: number): void {
        const state = this.router.findServer(server);
        if (state !== undefined) {
            state.running += 1;
        }
        this.slots.recordStart(requestId, server, tier);
    }

    private buildLentSlots(): LentSlots {
        return new LentSlots({
            clock: this.options.clock,
            node: this.options.node,
            readTier: (name) => this.classes.find(name)?.settings.tier,
        });
    }
}
