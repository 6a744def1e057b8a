import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { computeConnectionLimits, ConnectionPlaces, type ConnectionStage } from "../index.js";

describe("ConnectionPlaces", () => {
    function buildPlaces(maximumConnections: number) {
        const places = new ConnectionPlaces({ maximumConnections, clock: new ManualClock() });
        const closed: string[] = [];
        const add = (name: string, stage: ConnectionStage = "unused", cost = 0): boolean => {
            const connection = { computeCost: () => cost, close: () => closed.push(name) };
            const isAdded = places.tryAdd(connection);
            places.move(connection, "unused", stage);
            return isAdded;
        };
        return { places, closed, add };
    }

    it("closes connections without a request first, then idle ones, then the unfinished one that cost most", () => {
        const { closed, add } = buildPlaces(6);
        add("cheap", "unfinished", 1);
        add("dear", "unfinished", 5);
        add("busy", "busy", 9);
        add("idle", "idle");
        add("firstUnused");
        add("secondUnused");
        for (let index = 0; index < 5; index += 1) {
            add(`new-${String(index)}`, "busy");
        }
        expect(closed).toEqual(["firstUnused", "secondUnused", "idle", "dear", "cheap"]);
    });

    it("refuses a connection when requests run on all others, and takes it when one has closed", () => {
        const { places, add } = buildPlaces(1);
        const busy = { computeCost: () => 0, close: () => undefined };
        places.tryAdd(busy);
        places.move(busy, "unused", "busy");
        expect(add("refused")).toBe(false);
        places.remove(busy);
        expect(add("taken")).toBe(true);
        expect(places.countConnections()).toBe(1);
    });
});

describe("computeConnectionLimits", () => {
    // The descriptors of the machines that are described range from 2,212 to 10,250.
    it.each([600, 2_212, 4_100, 10_250])("leaves descriptors for servers of %i", (maximumDescriptors) => {
        const { maximumConnections, maximumShared } = computeConnectionLimits(maximumDescriptors);
        const servers = maximumConnections + maximumShared;
        expect(maximumConnections + servers + 200).toBeLessThan(maximumDescriptors);
    });

    it("lets callers keep 1,500 connections with 4,100 descriptors", () => {
        expect(computeConnectionLimits(4_100).maximumConnections).toBeGreaterThanOrEqual(1_500);
    });
});
