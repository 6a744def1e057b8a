// Requesters send GET requests with a body, with a length or in chunks; the workers run them without it.
import { Caller } from "../common-2/caller.mjs";
import { buildConfiguration, buildEntry, wait } from "../common-2/deployment.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

const requests = 40;

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    const workers = [];
    for (let index = 0; index < 3; index += 1) {
        const worker = await new Worker(`plain-${index}`, (request, body, response) => {
            const text = `status of seat ${body.length === 0 ? "(none named)" : body.toString()}`;
            response.writeHead(200, signedHeaders(request, worker)).end(text);
        }).open();
        workers.push(worker);
        platform.put("servers", worker.id, buildEntry("plain", worker.address, { Slots: 6 }));
    }
    platform.put("op", "config", buildConfiguration(1));
    const callers = [];
    for (const name of ["node-1", "node-2", "node-3"]) {
        callers.push(new Caller((await deployment.addNode(name)).callerPort));
    }
    await wait(3_200);
    const sent = new Map();
    for (let index = 0; index < requests; index += 1) {
        const body = hasTrouble ? `seat-${index}` : "";
        const headers = index % 2 === 0 || body === "" ? {} : { "transfer-encoding": "chunked" };
        // Every fourth one is a POST, whose body arrives.
        const method = index % 4 === 3 ? "POST" : "GET";
        const answer = await callers[index % 3].send(`/safe/seat?n=${index}`, { method, body, headers });
        sent.set(answer.id, body);
        const form = body === "" ? "no body" : index % 2 === 0 ? "a body with a length" : "a body in chunks";
        record(`${answer.id}: ${method} with ${form} "${body}": status ${answer.status}, "${answer.text}"`);
    }
    let changed = 0;
    for (const { requestId, method, body } of workers.flatMap(({ runs }) => runs)) {
        const asked = sent.get(requestId);
        if (asked !== body.toString()) {
            changed += 1;
            record(
                `${requestId}: a worker ran ${method} with body "${body.toString()}", sent was "${asked}"`,
            );
        }
    }
    record(`${changed} of ${requests} requests were run with another body than the requester's`);
    return changed > 0;
});
