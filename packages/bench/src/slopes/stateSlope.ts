/**
 * Measures the memory of a node's member table and of a pool's scheduler.
 *
 * @packageDocumentation
 */
import { createRandom, MemberTable, MembershipState, TieredScheduler } from "@pimentocleat/policy";
import { classSchema, poolSchema } from "@pimentocleat/schema";
import { ManualClock } from "@pimentocleat/types";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Slope, SlopeOptions, SlopePoint, SlopeResult } from "./slope.js";

const sizes = [64, 350, 1_400, 7_900];
const microsecondsPerMillisecond = 1_000;
const reportRounds = 5;

/** Measures heap memory by number of members and of backend servers, and the processing time of a load report. */
export class StateSlope implements Slope {
    readonly name = "state";
    readonly description = "memory of members and of a pool's scheduler";

    measureSlope(options: SlopeOptions): Promise<SlopeResult> {
        const points = sizes.map((size) => measurePoint(size, options.seed));
        return Promise.resolve({
            name: this.name,
            sizeName: "members or servers",
            seed: options.seed,
            points,
        });
    }
}

function measurePoint(size: number, seed: number): SlopePoint {
    const members = measureHeap(() => buildMembers(size, seed));
    const scheduler = measureHeap(() => buildScheduler(size));
    return {
        size,
        figures: {
            bytesPerMember: members.bytes / size,
            bytesPerServer: scheduler.bytes / size,
            loadReportUs: measureReports(scheduler.value, size),
        },
    };
}

function measureHeap<Value>(build: () => Value): { readonly value: Value; readonly bytes: number } {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const value = build();
    collectGarbage();
    return { value, bytes: process.memoryUsage().heapUsed - before };
}

function buildMembers(size: number, seed: number): MemberTable {
    const buildIdentity = (index: number): { name: string; dataCentre: string; peerAddress: string } => ({
        name: `entry-${index}`,
        dataCentre: `dc-${index % 18}`,
        peerAddress: `10.0.${index >> 8}.${index & 255}:7000`,
    });
    const self = { ...buildIdentity(0), incarnation: 1 };
    const table = new MemberTable({ clock: new ManualClock(), random: createRandom(seed), self });
    const statements = [...Array(size).keys()].map((index) => ({
        ...buildIdentity(index + 1),
        incarnation: index,
        refutation: 0,
        state: MembershipState.Alive,
    }));
    table.mergeStatements(statements);
    return table;
}

function buildScheduler(size: number): TieredScheduler {
    const servers = [...Array(size).keys()].map((index) => ({
        name: `server-${index}`,
        address: `10.1.${index >> 8}.${index & 255}:9000`,
        dataCentre: `dc-${index % 18}`,
        slots: 8,
    }));
    const pool = poolSchema.parse({ name: "answers", kind: "model", models: ["m"], servers });
    const requestClass = classSchema.parse({
        name: "quick",
        tier: 1,
        firstTokenMs: 1_300,
        completeMs: 30_000,
    });
    const configuration = { pool, classes: [requestClass], customers: [] };
    return new TieredScheduler({ configuration, clock: new ManualClock(), node: "entry-0" });
}

function measureReports(scheduler: TieredScheduler, size: number): number {
    const startMs = performance.now();
    for (let round = 0; round < reportRounds; round += 1) {
        for (let index = 0; index < size; index += 1) {
            scheduler.recordLoadReport({
                server: `server-${index}`,
                runningRequests: 4,
                waitingRequests: 0,
                slots: 8,
                cacheUsage: 0.5,
                ageMs: 100,
            });
        }
        scheduler.takeDecisions();
    }
    return ((performance.now() - startMs) * microsecondsPerMillisecond) / (size * reportRounds);
}
