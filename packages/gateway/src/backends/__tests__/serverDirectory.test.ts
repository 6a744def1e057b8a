import { SilentLogger } from "@pimentocleat/telemetry";
import { describe, expect, it } from "vitest";
import type { RegisteredServer } from "../backendServer.js";
import { ServerDirectory } from "../serverDirectory.js";

const buildServer = (id: string, version: number): RegisteredServer => ({
    id,
    version,
    service: "s",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 8,
    state: "ready",
    bornMs: 1,
    isReclaimable: false,
});

describe("the directory of a node that has just started", () => {
    const listIds = (directory: ServerDirectory) => directory.listReadyServers("s").map(({ id }) => id);

    // Guards against a server that has left and is used again, because a reader that has not read its removal yet sends
    // its registration to a node that has started since.
    it("does not take a server from an update that is older than its own complete read", () => {
        const directory = new ServerDirectory(new SilentLogger());
        directory.setServers([buildServer("stays", 3)], 9);
        directory.updateServers([buildServer("left", 7)], []);
        expect(listIds(directory)).toEqual(["stays"]);
    });

    it("takes a server that has registered since its complete read", () => {
        const directory = new ServerDirectory(new SilentLogger());
        directory.setServers([buildServer("stays", 3)], 9);
        directory.updateServers([buildServer("new", 10)], []);
        expect(listIds(directory)).toEqual(["stays", "new"]);
    });

    it("takes servers from updates before its first complete read", () => {
        const directory = new ServerDirectory(new SilentLogger());
        directory.updateServers([buildServer("known", 7)], []);
        expect(listIds(directory)).toEqual(["known"]);
    });
});
