import { createHash } from "node:crypto";
import { describe, expect, it } from "vitest";
import { parseConfiguration } from "@pimentocleat/schema";
import { ConsolaLogger } from "@pimentocleat/telemetry";
import type { AppliedConfiguration, ConfigurationSource } from "../../configuration/configurationSource.js";
import { ConfiguredKeyRegistry } from "../configuredKeyRegistry.js";

function computeDigest(secret: string): string {
    return createHash("sha256").update(secret).digest("hex");
}

interface KeyEntry {
    readonly id: string;
    readonly secret: string;
    readonly withdrawn?: boolean;
}

class ManualSource implements ConfigurationSource {
    private applied: AppliedConfiguration | undefined;
    private listener: (applied: AppliedConfiguration) => void = () => {};

    readCurrent(): AppliedConfiguration | undefined {
        return this.applied;
    }

    onChange(listener: (applied: AppliedConfiguration) => void): () => void {
        this.listener = listener;
        return () => {};
    }

    apply(...keys: readonly KeyEntry[]): void {
        const entries = keys.map(({ id, secret, withdrawn }) => ({
            id,
            customer: "c",
            digest: computeDigest(secret),
            withdrawn: withdrawn ?? false,
        }));
        const content = JSON.stringify({ customers: [{ name: "c" }], keys: entries });
        const { configuration } = parseConfiguration([{ name: "a.yaml", content }]);
        this.applied = { revision: (this.applied?.revision ?? 0) + 1, configuration: configuration! };
        this.listener(this.applied);
    }
}

function setUp() {
    const source = new ManualSource();
    const lines: string[] = [];
    const logger = new ConsolaLogger({
        format: "json",
        level: "debug",
        writeLine: (line) => lines.push(line),
    });
    const registry = new ConfiguredKeyRegistry({ configuration: source, logger });
    const announced: string[] = [];
    registry.onWithdrawal((keyId) => announced.push(keyId));
    const withdraw = (keyId: string, secret: string): void =>
        registry.addWithdrawals(
            [{ keyId, digest: computeDigest(secret), withdrawnAtMs: 0, author: "o" }],
            false,
        );
    return { source, registry, announced, lines, withdraw };
}

describe("ConfiguredKeyRegistry", () => {
    it("finds keys by the digest of the secret", () => {
        const { source, registry } = setUp();
        expect(registry.findKey("s1").type).toBe("unknown");
        source.apply({ id: "k1", secret: "s1" });
        expect(registry.findKey("s1")).toMatchObject({ type: "valid", key: { id: "k1" } });
        expect(registry.findKey(computeDigest("s1")).type).toBe("unknown");
        expect(registry.findKey("").type).toBe("unknown");
    });

    it.each<[string, KeyEntry]>([
        ["the same entry", { id: "k1", secret: "s1" }],
        ["the same secret under another identifier", { id: "other", secret: "s1" }],
        ["the same identifier with another secret", { id: "k1", secret: "s2" }],
        ["an entry marked as not withdrawn", { id: "k1", secret: "s1", withdrawn: false }],
    ])("keeps a withdrawn key withdrawn when a new configuration contains %s", (title, entry) => {
        const { source, registry, withdraw } = setUp();
        source.apply({ id: "k1", secret: "s1" });
        withdraw("k1", "s1");
        expect(registry.findKey("s1")).toEqual({ type: "withdrawn", keyId: "k1" });
        source.apply();
        source.apply(entry);
        expect(registry.findKey(entry.secret), title).toEqual({ type: "withdrawn", keyId: entry.id });
        expect(registry.isWithdrawn(entry.id)).toBe(true);
    });

    it("keeps a key withdrawn that the configuration once marked as withdrawn", () => {
        const { source, registry } = setUp();
        source.apply({ id: "k1", secret: "s1", withdrawn: true });
        source.apply({ id: "k1", secret: "s1" });
        expect(registry.findKey("s1").type).toBe("withdrawn");
    });

    it("applies a withdrawal that was received before its key", () => {
        const { source, registry, withdraw } = setUp();
        withdraw("k1", "s1");
        source.apply({ id: "k1", secret: "s1" });
        expect(registry.findKey("s1").type).toBe("withdrawn");
    });

    it("reports every identifier of a withdrawn secret, and keys removed from the configuration", () => {
        const { source, announced, withdraw } = setUp();
        source.apply({ id: "renamed", secret: "s1" }, { id: "k2", secret: "s2" }, { id: "k3", secret: "s3" });
        withdraw("k1", "s1");
        withdraw("k1", "s1");
        source.apply({ id: "renamed", secret: "s1" }, { id: "k3", secret: "changed" });
        expect(announced).toEqual(["k1", "renamed", "k2", "k3"]);
    });

    it("writes neither secrets nor digests to the log", () => {
        const { source, registry, lines, withdraw } = setUp();
        source.apply({ id: "k1", secret: "a-secret" });
        registry.findKey("a-secret");
        withdraw("k1", "a-secret");
        expect(lines).toHaveLength(1);
        expect(lines.join()).not.toContain("a-secret");
        expect(lines.join()).not.toContain(computeDigest("a-secret"));
    });
});
