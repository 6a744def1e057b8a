// Workers crash in the middle of streams whose events are numbered by the tokens so far. The streams go on at a sound worker,
// whose first event holds several tokens; the node takes that for a gap and closes the requester's channel.
import { Caller } from "../common-2/caller.mjs";
import { buildConfiguration, buildEntry, wait } from "../common-2/deployment.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

const tokens = 34;
/** Tokens in an event, as on the site's sheet, once more than one is ready. */
const stride = 7;
/** The first tokens of an answer come one by one. */
const singleTokens = 6;
const rounds = 5;
const requestsPerRound = 30;
const permitted = 3;

/** The ids of an answer's events after an id: the number of tokens that were made so far. */
function listIds(after) {
    const ids = [];
    for (let id = after; id < tokens;) {
        id = Math.min(tokens, after === 0 && id < singleTokens ? id + 1 : id + stride);
        ids.push(id);
    }
    return ids;
}

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    const workers = [];
    const crashedAt = new Map();
    const continued = new Map();
    const handle = async (request, body, response, worker) => {
        const id = request.headers["x-request-id"];
        const last = Number(request.headers["last-event-id"] ?? 0);
        response.on("error", () => undefined);
        response.writeHead(200, signedHeaders(request, worker, { "content-type": "text/event-stream" }));
        if (last > 0) {
            continued.set(id, worker.id);
            record(`${worker.id} goes on with ${id} after token ${last}: ids ${listIds(last).join(", ")}`);
        }
        let made = last;
        for (const next of listIds(last)) {
            if (response.destroyed) {
                break;
            }
            const words = Array.from({ length: next - made }, (...[, index]) => `t${made + index + 1}`);
            response.write(`id: ${next}\ndata: ${words.join(" ")}\n\n`);
            made = next;
            await wait(80);
        }
        if (worker.isDown) {
            crashedAt.set(id, worker.id);
        } else if (response.destroyed) {
            record(`the node closed the channel of ${id} at ${worker.id}, which was still writing`);
        }
        response.end();
    };
    for (let index = 0; index < 6; index += 1) {
        const worker = await new Worker(`engine-${index}`, handle).open();
        workers.push(worker);
        platform.put("servers", worker.id, buildEntry("engines", worker.address));
    }
    const configuration = buildConfiguration(1);
    const route = configuration.Routes.find((candidate) => candidate.Name === "resumable");
    Object.assign(route, { TimeoutMs: 4_000, TargetLatencyMs: 800, GapAimMs: 1_000 });
    platform.put("op", "config", configuration);
    const callers = [];
    for (const name of ["node-1", "node-2", "node-3"]) {
        callers.push(new Caller((await deployment.addNode(name)).callerPort));
    }
    await wait(3_200);
    const sendRound = () =>
        Array.from({ length: requestsPerRound }, (...[, index]) =>
            callers[index % 3].send("/resumable/a", { body: "prompt", deadlineMs: 4_000 }),
        );
    // Opens the channels that the requesters keep.
    await Promise.all(sendRound());
    let cut = 0;
    for (let round = 0; round < rounds; round += 1) {
        const sending = sendRound();
        await wait(300);
        const worker = workers[round];
        if (hasTrouble) {
            record(`${worker.id} crashes`);
            worker.isDown = true;
            worker.crash();
        }
        for (const { id, status, text, end, isKept } of await Promise.all(sending)) {
            const count = text.match(/t\d+/g)?.length ?? 0;
            const isCut =
                isKept && end !== "whole" && continued.has(id) && continued.get(id) !== crashedAt.get(id);
            cut += isCut ? 1 : 0;
            record(
                `${id}: status ${status}, ${count} of ${tokens} tokens, ${end}${isCut ? ", CUT on a kept channel" : ""}`,
            );
        }
        if (hasTrouble) {
            // It starts again after 4 s, under the id that it had.
            await wait(4_000);
            worker.isDown = false;
            await worker.open(Number(worker.address.split(":")[1]));
            platform.put("servers", worker.id, buildEntry("engines", worker.address));
            await wait(1_500);
        }
    }
    record(
        `${cut} requests were passed on to a sound worker that went on, and their channels closed all the same`,
    );
    return cut > permitted;
});
