import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { PromptQuarantine } from "../promptQuarantine.js";

const contactMs = 3_000;
const buildPrompt = (...ids: readonly string[]) => ids.map((id) => ({ id, tokens: 100 }));

/** Nodes that tell each other their evidence as `CrashNews` does; a share of the messages is lost. */
class Deployment {
    readonly clock = new ManualClock();
    readonly nodes: PromptQuarantine[];
    private readonly random: () => number;
    private crashes = 0;

    constructor(
        count: number,
        seed: number,
        private readonly lossShare = 0,
    ) {
        this.random = createRandom(seed);
        this.nodes = [...Array(count).keys()].map(() => new PromptQuarantine(this.clock));
    }

    chooseNode(): PromptQuarantine {
        return this.nodes[Math.floor(this.random() * this.nodes.length)]!;
    }

    /** Sends a prompt; one with the harmful part crashes a new server, on which another prompt has just begun. */
    send(
        node: PromptQuarantine,
        parts: readonly string[],
        harmful: string,
        victim: readonly string[],
    ): string {
        const prompt = buildPrompt(...parts, `own-${String(this.random())}`);
        const decision = node.checkPrompt(prompt, true);
        if (decision.type === "probe") {
            this.broadcast(node);
        }
        if (decision.type === "refuse") {
            return "refused";
        }
        if (!parts.includes(harmful)) {
            if (node.recordAnswer(prompt)) {
                this.broadcast(node);
            }
            return "answered";
        }
        this.crashes += 1;
        const server = `server-${String(this.crashes)}`;
        const other = this.chooseNode();
        node.recordLoss(prompt, server, 60);
        this.broadcast(node);
        other.recordLoss(buildPrompt(...victim, "victim"), server, undefined);
        this.broadcast(other);
        return "crashed";
    }

    advance(durationMs: number): void {
        for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
            this.clock.advance(500);
            this.nodes.forEach((node) => {
                for (let index = 0; index < 3; index += 1) {
                    this.tell(node, this.chooseNode());
                }
            });
        }
    }

    private broadcast(node: PromptQuarantine): void {
        this.nodes.slice(0, 24).forEach((peer) => this.tell(node, peer));
    }

    private tell(from: PromptQuarantine, to: PromptQuarantine): void {
        if (this.random() >= this.lossShare) {
            to.mergeReports(from.buildReports(20));
        }
    }
}

describe("PromptQuarantine", () => {
    // Guards against one engine after the other lost to a part that each of many nodes sees once (many routers).
    it.each([
        { nodes: 9, lossShare: 0 },
        { nodes: 9, lossShare: 0.3 },
        { nodes: 80, lossShare: 0.03 },
        { nodes: 195, lossShare: 0.03 },
    ])("stops a harmful part at $nodes nodes with a loss of $lossShare", ({ nodes, lossShare }) => {
        for (let seed = 1; seed <= 5; seed += 1) {
            const deployment = new Deployment(nodes, seed, lossShare);
            let fifthMs = Number.POSITIVE_INFINITY;
            let crashes = 0;
            let late = 0;
            const sound = { sent: 0, refused: 0 };
            for (let step = 0; step < 120; step += 1) {
                const outcome = deployment.send(deployment.chooseNode(), ["first", "bad"], "bad", [
                    "first",
                    "side",
                ]);
                if (outcome === "crashed") {
                    crashes += 1;
                    late += deployment.clock.monotonicMs() > fifthMs + contactMs ? 1 : 0;
                    fifthMs = crashes === 5 ? deployment.clock.monotonicMs() : fifthMs;
                }
                for (let index = 0; index < 3; index += 1) {
                    const parts = index === 0 ? ["first", "side"] : ["first"];
                    const result = deployment.send(deployment.chooseNode(), parts, "bad", []);
                    sound.sent += 1;
                    sound.refused += result === "refused" ? 1 : 0;
                }
                deployment.advance(500);
            }
            expect(late).toBeLessThanOrEqual(3);
            expect(crashes).toBeLessThanOrEqual(10);
            expect(sound.refused / sound.sent).toBeLessThan(0.05);
        }
    });

    // Guards against a node that starts in the middle of a series and sends the part again.
    it("is in force on a node that starts meanwhile, within the contact time", () => {
        const deployment = new Deployment(9, 3);
        for (let index = 0; index < 3; index += 1) {
            deployment.send(deployment.chooseNode(), ["first", "bad"], "bad", []);
            deployment.advance(500);
        }
        deployment.nodes[8] = new PromptQuarantine(deployment.clock);
        deployment.advance(contactMs - 500);
        expect(deployment.nodes[8].checkPrompt(buildPrompt("first", "bad", "own"), true).type).toBe("refuse");
    });

    // Guards against blaming shared parts when a data centre loses its servers at one moment.
    it("blames no part for servers that are lost at one moment", () => {
        const clock = new ManualClock();
        const quarantine = new PromptQuarantine(clock);
        for (let index = 0; index < 4; index += 1) {
            quarantine.recordLoss(buildPrompt("first", "side", "own"), `server-${String(index)}`, undefined);
            clock.advance(10);
        }
        expect(quarantine.checkPrompt(buildPrompt("first", "side", "own"), true).type).toBe("send");
    });

    // Guards against blaming streams that have run well on the server for some time.
    it("blames no part of a response that ran for longer than a harmful one can", () => {
        const clock = new ManualClock();
        const quarantine = new PromptQuarantine(clock);
        for (let index = 0; index < 4; index += 1) {
            quarantine.recordLoss(buildPrompt("first", "own"), `server-${String(index)}`, 1_500);
            clock.advance(1_000);
        }
        expect(quarantine.checkPrompt(buildPrompt("first", "own"), true).type).toBe("send");
    });

    // Guards against refusing a sound part for long after crashes of another cause.
    it("refuses a part that was answered only after many unanswered losses, and tests it soon", () => {
        const clock = new ManualClock();
        const quarantine = new PromptQuarantine(clock);
        const prompt = buildPrompt("first", "own");
        quarantine.recordAnswer(prompt);
        for (let index = 0; index < 4; index += 1) {
            clock.advance(1_000);
            expect(quarantine.checkPrompt(prompt, true).type).toBe("send");
            quarantine.recordLoss(prompt, `server-${String(index)}`, undefined);
        }
        expect(quarantine.checkPrompt(prompt, true).type).toBe("refuse");
        clock.advance(4_000);
        expect(quarantine.checkPrompt(prompt, false).type).toBe("refuse");
        expect(quarantine.checkPrompt(prompt, true).type).toBe("probe");
        expect(quarantine.checkPrompt(prompt, true).type).toBe("refuse");
        expect(quarantine.recordAnswer(prompt)).toBe(true);
        expect(quarantine.checkPrompt(prompt, true).type).toBe("send");
    });

    // Guards against a part that two harmful prompts happen to share being refused in place of the harmful one.
    it("releases a part once another one explains all of its losses", () => {
        const clock = new ManualClock();
        const quarantine = new PromptQuarantine(clock);
        const lose = (server: string, ...parts: readonly string[]) => {
            clock.advance(500);
            quarantine.recordLoss(buildPrompt(...parts, "own"), server, 50);
        };
        lose("server-1", "bad", "side");
        lose("server-2", "bad", "side");
        expect(quarantine.checkPrompt(buildPrompt("other", "side", "own"), true).type).toBe("refuse");
        lose("server-3", "bad", "else");
        expect(quarantine.checkPrompt(buildPrompt("other", "side", "own"), true).type).toBe("send");
        expect(quarantine.checkPrompt(buildPrompt("other", "bad", "own"), true).type).toBe("refuse");
    });

    it("tests a part ever less often while the tests crash servers, and forgets it in the end", () => {
        const clock = new ManualClock();
        const quarantine = new PromptQuarantine(clock);
        const prompt = buildPrompt("bad", "own");
        let crashes = 0;
        for (let second = 0; second < 300; second += 1) {
            if (quarantine.checkPrompt(prompt, true).type !== "refuse") {
                crashes += 1;
                quarantine.recordLoss(prompt, `server-${String(crashes)}`, 50);
            }
            clock.advance(1_000);
        }
        expect(crashes).toBeLessThanOrEqual(6);
        clock.advance(600_000);
        expect(quarantine.buildReports(20)).toEqual([]);
    });

    it("treats late reports of one loss as the same loss", () => {
        const clock = new ManualClock();
        const quarantine = new PromptQuarantine(clock);
        const prompt = buildPrompt("side", "own");
        quarantine.recordLoss(prompt, "server-1", undefined);
        clock.advance(900);
        expect(quarantine.recordLoss(prompt, "server-1", undefined)).toBe(false);
        expect(quarantine.checkPrompt(prompt, true).type).toBe("send");
    });
});
