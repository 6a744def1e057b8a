// Runs a case: writes record.txt, ends everything, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { Deployment } from "./deployment.mjs";
import { Platform } from "./platform.mjs";

const maximumMs = 110_000;

/**
 * @param url - URL of the case's module; its folder gets the record.
 * @param play - Plays the case and returns whether the rule was broken.
 */
export async function runCase(url, play) {
    const startMs = performance.now();
    const lines = [];
    const hasTrouble = process.env.TROUBLE !== "0";
    const record = (text) =>
        lines.push(`${((performance.now() - startMs) / 1000).toFixed(3).padStart(8)} s  ${text}`);
    const finish = (code) => {
        writeFileSync(fileURLToPath(new URL("record.txt", url)), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    setTimeout(() => {
        record("the case took too long");
        finish(2);
    }, maximumMs).unref();
    ["SIGTERM", "SIGINT"].forEach((signal) => process.once(signal, () => finish(2)));
    try {
        const platform = await new Platform().open();
        const deployment = new Deployment(platform);
        record(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
        const isBroken = await play({ platform, deployment, hasTrouble, record });
        record(isBroken ? "the rule was BROKEN" : "the rule held");
        deployment.stop();
        finish(isBroken ? 1 : 0);
    } catch (error) {
        record(`the case couldn't run: ${error.stack}`);
        finish(2);
    }
}
