/**
 * One of three workers of an order service fails part of the orders after it has carried them out: it answers 503, and
 * does not say that it did not run them. Requesters behave as the pages say: they send an unsafe request once more only
 * after a status that promises that it has not run. Environment: TROUBLE=0 lets no worker fail.
 */
import { createServer, request as openRequest } from "node:http";
import { join } from "node:path";
import { apiKey, runCase, wait, waitUntil } from "../common/deployment.mjs";

const orderCount = 60;
const failedShare = 0.4;
const timeoutMs = 2_500;
const workMs = 20;
/** Statuses that promise that a request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

function startWorker(name, record, runs, isGrey) {
    let count = 0;
    const server = createServer((request, response) => {
        let order = "";
        request.on("data", (bytes) => (order += bytes));
        request.once("end", () => {
            const id = request.headers["x-request-id"];
            const headers = { "x-request-id": id, "x-server-signature": `${name}.test` };
            runs.push({ id, order, name });
            record.write(`worker ${name} carries out ${order}, request ${id}`);
            count += 1;
            const isFailing = isGrey && (count * failedShare) % 1 < failedShare;
            setTimeout(() => {
                const status = isFailing ? 503 : 200;
                record.write(`worker ${name} answers request ${id} with ${status}`);
                response.writeHead(status, headers).end(isFailing ? "the receipt failed" : `done ${order}`);
            }, workMs);
        });
    });
    return new Promise((done) => server.listen(0, "127.0.0.1", () => done(server)));
}

/** Sends one attempt on a new channel. */
function sendAttempt(port, id, order) {
    return new Promise((done) => {
        const headers = {
            host: "h.example",
            "x-request-id": id,
            "x-deadline-ms": String(timeoutMs),
            authorization: `Bearer ${apiKey}`,
            "content-length": String(order.length),
        };
        const attempt = openRequest(
            { host: "127.0.0.1", port, method: "POST", path: "/order/1", headers, agent: false },
            (answer) => {
                answer.resume();
                answer.once("close", () =>
                    done({ id, status: answer.statusCode, signature: answer.headers["x-server-signature"] }),
                );
            },
        );
        attempt.once("error", () => done({ id, status: undefined }));
        attempt.end(order);
    });
}

await runCase(join(import.meta.dirname, "record.txt"), async (deployment, record, hasTrouble) => {
    const runs = [];
    const workers = [];
    for (const [index, zone] of ["a", "b", "a"].entries()) {
        const name = `i-${index + 1}`;
        const worker = await startWorker(name, record, runs, hasTrouble && index === 0);
        workers.push(worker);
        deployment.registerWorker(name, "app", `127.0.0.1:${worker.address().port}`, zone, { Slots: 6 });
    }
    deployment.putConfiguration({
        Version: 1,
        Routes: [
            {
                Name: "order",
                Host: "h.example",
                PathPrefix: "/order/",
                Kind: "unsafe",
                Service: "app",
                MaxAttempts: 1,
                TimeoutMs: timeoutMs,
                TargetLatencyMs: 200,
                Priority: 1,
                Public: false,
            },
        ],
        Services: [{ Name: "app", HealthPath: "/health", MaxConnections: 110 }],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 4_194_304,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [{ Name: "tenant", ApiKeys: [apiKey], Priority: 1 }],
    });
    const nodes = [
        await deployment.startNode("front-a-1", "a"),
        await deployment.startNode("front-b-1", "b"),
    ];
    for (const node of nodes) {
        if (!(await waitUntil(() => deployment.isReady(node), 10_000))) {
            throw new Error("a node is not ready");
        }
    }
    await wait(4_000);
    const attempts = [];
    for (let index = 0; index < orderCount; index += 1) {
        const order = `order-${index + 1}`;
        const first = await sendAttempt(nodes[0].front, `${order}-first`, order);
        attempts.push(first);
        record.write(`requester: ${first.id} is answered ${first.status}, signature ${first.signature}`);
        if (promises.has(first.status)) {
            const second = await sendAttempt(nodes[1].front, `${order}-second`, order);
            attempts.push(second);
            record.write(
                `requester: ${second.id} is answered ${second.status}, signature ${second.signature}`,
            );
        }
        await wait(50);
    }
    const ran = new Set(runs.map(({ id }) => id));
    const refusedAndRun = attempts.filter(({ id, status }) => promises.has(status) && ran.has(id));
    const times = new Map();
    runs.forEach(({ order }) => times.set(order, (times.get(order) ?? 0) + 1));
    const twice = [...times].filter(([, count]) => count > 1).length;
    workers.forEach((worker) => {
        worker.close();
        worker.closeAllConnections();
    });
    record.write(`${attempts.length} attempts; ${runs.length} runs; ${twice} orders carried out twice`);
    return refusedAndRun.length === 0
        ? undefined
        : `REFUSED: ${refusedAndRun.length} unsafe requests were answered 503 and have run`;
});
