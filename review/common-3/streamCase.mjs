/**
 * What the cases of resumed streams share: engines, the requesters of streams on kept channels, and the check of LOST.
 */
import { createId } from "./callers.mjs";
import { buildConfiguration, routes } from "./caseRun.mjs";
import { sleep } from "./deployment.mjs";

/** Number of streams that one node may cut in this way before LOST is broken. */
const allowedCuts = 3;

/** Starts engines of one service and a plain worker, and nodes before them. */
export async function startEngines(run, count, handle) {
    const zones = ["atl-a", "atl-b", "atl-c"];
    const engines = [];
    for (let index = 0; index < count; index += 1) {
        engines.push(
            await run.addWorker({
                id: `i-engine-${index + 1}`,
                zone: zones[index % zones.length],
                service: "oath-llm",
                handle,
            }),
        );
    }
    await run.addWorker({
        id: "i-plain-1",
        zone: zones[0],
        service: "booking-app",
        handle(request, response) {
            const headers = this.headers(request, { "content-length": "800" });
            response.writeHead(200, headers).end(Buffer.alloc(800, "a"));
        },
    });
    const nodes = await run.startNodes(zones, buildConfiguration([routes.stream, routes.safe]));
    return { engines, nodes };
}

/** Sends a request that leaves the channel open, and then a stream on the same channel. */
export async function askStream(caller) {
    await caller.call({ path: "/look/booking", deadlineMs: 2500 });
    const own = createId();
    return caller.call({
        method: "POST",
        path: "/seat/plan",
        body: JSON.stringify({ prompt: own }),
        headers: {
            "x-model": "m",
            "x-token-counts": "2890,40",
            "x-prompt-prefix": `${own}:2890`,
        },
    });
}

/** Lets requesters ask for streams, one after the other each, until a time. */
export async function askUntil(run, nodes, perNode, endMs) {
    const seen = [];
    const loops = nodes.flatMap((node, index) =>
        Array.from({ length: perNode[index] }, async () => {
            const caller = run.addCaller(node);
            await sleep(Math.random() * 500);
            while (Date.now() < endMs) {
                seen.push({ ...(await askStream(caller)), node: node.fields.NodeName });
            }
        }),
    );
    await Promise.all(loops);
    return seen;
}

/**
 * Counts the streams by which LOST is broken: passed on from a kept channel, at last to an engine that kept its channel and
 * was still sending or had sent its whole answer, and ended by the node without a complete answer.
 *
 * @param isSound - Whether an engine did nothing wrong in a run.
 */
export function countCuts(run, engines, streams, isSound) {
    const runs = new Map();
    for (const { received } of engines) {
        for (const entry of received) {
            runs.set(entry.id, [...(runs.get(entry.id) ?? []), entry]);
        }
    }
    const counts = { whole: 0, resumed: 0, resumedWhole: 0, cut: 0, others: 0 };
    const cutByNode = new Map();
    for (const stream of streams) {
        const own = (runs.get(stream.id) ?? []).sort((left, right) => left.atMs - right.atMs);
        const last = own.at(-1);
        const isResumed = own.length > 1;
        counts.resumed += isResumed ? 1 : 0;
        if (stream.whole && stream.status === 200) {
            counts.whole += 1;
            counts.resumedWhole += isResumed ? 1 : 0;
            continue;
        }
        const isInTime = stream.endMs - stream.sentMs < routes.stream.TimeoutMs;
        const isCut =
            isResumed && isSound(last) && stream.kept && stream.status === 200 && !stream.whole && isInTime;
        counts[isCut ? "cut" : "others"] += 1;
        if (isCut) {
            cutByNode.set(stream.node, (cutByNode.get(stream.node) ?? 0) + 1);
            const path = own.map(
                ({ worker, headers }) =>
                    `${worker} from ${headers["last-event-id"] === undefined ? "the start" : `after event ${headers["last-event-id"]}`}`,
            );
            run.write(
                `cut: ${stream.id} at ${stream.node}, passed on to ${path.join(", then ")}; the requester got ${JSON.stringify(stream.text.slice(-60))}`,
            );
        }
    }
    run.write(`streams: ${JSON.stringify({ sent: streams.length, ...counts })}`);
    run.write(`cut by machine: ${JSON.stringify(Object.fromEntries(cutByNode))}`);
    return [...cutByNode.values()].some((count) => count > allowedCuts);
}
