// The holder of the duty of usage is cut off from the platform while its report is under way. Another node takes the duty
// over and acts. After the cut has healed, the report of the former holder arrives.
import { Caller } from "../common-2/caller.mjs";
import { buildConfiguration, buildEntry, wait } from "../common-2/deployment.mjs";
import { Link } from "../common-2/link.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

/** Length of the cut; the longest one in the site's days (`node_cut`) lasts 12 s. */
const cutMs = 11_000;
const afterCutMs = 6_000;
const requestPauseMs = 50;
const maximumWaitMs = 40_000;
const zones = ["a", "b", "c"];
/** The bounds of the rule. */
const thawSlackMs = 300;
const leaseMs = 3_000;

/** Judges the reports as rule ONE does; those don't count that come right after their sender's link has healed. */
function findBreaks(reports, holder, healedMs) {
    const breaks = [];
    const contents = new Map();
    const turns = [];
    let highest = 0;
    for (const report of reports) {
        const { atMs, fence, body } = report;
        const content = JSON.stringify(body.Counts);
        if ((contents.get(body.Window) ?? content) !== content) {
            breaks.push(`window ${body.Window} is reported with different counts`);
        }
        contents.set(body.Window, contents.get(body.Window) ?? content);
        if (report.holder === holder && atMs >= healedMs && atMs <= healedMs + thawSlackMs) {
            continue;
        }
        if (fence < highest) {
            breaks.push(`${report.holder} sends generation ${fence} after generation ${highest} was seen`);
        }
        highest = Math.max(highest, fence);
        if (turns.at(-1)?.holder !== report.holder) {
            const earlier = turns.findLast((turn) => turn.holder === report.holder);
            if (earlier !== undefined && atMs - earlier.lastMs < leaseMs) {
                breaks.push(`${report.holder} acts again within LeaseMs, after another holder`);
            }
            turns.push({ holder: report.holder });
        }
        turns.at(-1).lastMs = atMs;
    }
    return breaks;
}

async function waitFor(condition, what) {
    const endMs = performance.now() + maximumWaitMs;
    while (!condition()) {
        if (performance.now() > endMs) {
            throw new Error(`${what} didn't happen`);
        }
        await wait(20);
    }
}

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    const startMs = performance.now();
    const format = (atMs) => `${((atMs - startMs) / 1_000).toFixed(3)} s`;
    for (const zone of zones) {
        const worker = await new Worker(`app-${zone}`, (request, body, response) => {
            response.writeHead(200, signedHeaders(request, worker, { "content-length": "4" })).end("done");
        }).open();
        platform.put("servers", worker.id, buildEntry("plain", worker.address, { Zone: zone, Slots: 6 }));
    }
    platform.put("op", "config", buildConfiguration(1));
    const cut = { holder: undefined, startMs: undefined };
    const callers = [];
    for (const zone of zones) {
        const name = `node-${zone}`;
        const store = await new Link(platform.storeAddress).open();
        const cloud = await new Link(platform.cloudAddress, (bytes) => {
            const isReport = bytes.toString("latin1").startsWith("POST /usage");
            if (hasTrouble && isReport && name === cut.holder && cut.startMs === undefined) {
                cut.startMs = performance.now();
                store.cut(cut.startMs + cutMs);
                cloud.cut(cut.startMs + cutMs);
                record(`${name} is cut off from the platform for ${cutMs} ms as it sends a report of usage`);
            }
        }).open();
        const addresses = { storeAddress: store.address, dutiesAddress: cloud.address };
        const node = await deployment.addNode(name, { dataCentre: zone, ...addresses });
        callers.push(new Caller(node.callerPort));
    }
    const traffic = { sent: 0, served: 0, isOver: false };
    const sendTraffic = async () => {
        while (!traffic.isOver) {
            const caller = callers[traffic.sent % callers.length];
            traffic.sent += 1;
            void caller.send("/safe/look").then(({ status }) => {
                traffic.served += status === 200 ? 1 : 0;
            });
            await wait(requestPauseMs);
        }
    };
    void sendTraffic();
    const listReports = () => platform.dutyCalls.filter(({ path }) => path === "/usage");
    await waitFor(() => listReports().length >= 2, "a second report of usage");
    cut.holder = listReports().at(-1).holder;
    record(`${cut.holder} holds the duty of usage`);
    if (hasTrouble) {
        await waitFor(() => cut.startMs !== undefined, "a further report of the holder");
    }
    await wait(cutMs + afterCutMs);
    traffic.isOver = true;
    const healedMs = cut.startMs === undefined ? Number.POSITIVE_INFINITY : cut.startMs + cutMs;
    record(`${traffic.served} of ${traffic.sent} requests were served`);
    const reports = listReports();
    for (const { atMs, holder, fence, body } of reports) {
        const late = atMs > healedMs ? `, ${Math.round(atMs - healedMs)} ms after the cut has healed` : "";
        const text = `window ${body.Window} with ${JSON.stringify(body.Counts)}`;
        record(`at ${format(atMs)} the platform got from ${holder}, generation ${fence}: ${text}${late}`);
    }
    const breaks = findBreaks(reports, cut.holder, healedMs);
    breaks.forEach((text) => record(text));
    return breaks.length > 0;
});
