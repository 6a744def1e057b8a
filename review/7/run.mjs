// A requester without a key calls the port on which nodes relay requests for each other. The node says that it refuses, and
// a worker runs the request all the same.
import { connect } from "node:net";
import { Caller } from "../common-2/caller.mjs";
import { buildConfiguration, buildEntry, routeHost, wait } from "../common-2/deployment.mjs";
import { runCase } from "../common-2/run.mjs";
import { signedHeaders, Worker } from "../common-2/worker.mjs";

const attempts = 40;
const host = "127.0.0.1";

/** Sends bytes on a new channel and waits until it is closed. */
function sendRaw(port, text) {
    return new Promise((resolve) => {
        let answer = "";
        const socket = connect(port, host, () => socket.write(text));
        socket.on("data", (data) => (answer += String(data)));
        socket.on("error", () => undefined).once("close", () => resolve(answer.split("\r\n")[0]));
        setTimeout(() => socket.destroy(), 1_000);
    });
}

await runCase(import.meta.url, async ({ platform, deployment, hasTrouble, record }) => {
    const workers = [];
    for (let index = 0; index < 3; index += 1) {
        const worker = await new Worker(`i-${index}f3a91c2`, async (request, body, response) => {
            await wait(20);
            response.writeHead(200, signedHeaders(request, worker)).end(`held ${body.toString()}`);
        }).open();
        workers.push(worker);
        platform.put("servers", worker.id, buildEntry("plain", worker.address, { Slots: 6 }));
    }
    platform.put("op", "config", buildConfiguration(1));
    const nodes = [];
    for (const name of ["node-1", "node-2", "node-3"]) {
        nodes.push(await deployment.addNode(name));
    }
    await wait(3_200);
    const callers = nodes.map(({ callerPort }) => new Caller(callerPort));
    const asked = new Set();
    for (let index = 0; index < attempts; index += 1) {
        // The usual requesters, after whose requests a node keeps its channels to the workers.
        const usual = await Promise.all(
            callers.flatMap((caller) => [1, 2, 3].map(() => caller.send("/unsafe/seat", { body: "seat" }))),
        );
        usual.forEach(({ id }) => asked.add(id));
        const node = nodes[index % nodes.length];
        const id = `stranger-${index}`;
        const common = `Host: ${routeHost}\r\nX-Request-Id: ${id}\r\nAuthorization: Bearer none\r\nContent-Length: 4\r\n`;
        if (hasTrouble) {
            // The node itself tells which workers a route leads to, on the port of the readiness check.
            const url = `http://${host}:${node.readyPort}/explain?host=${routeHost}&path=/unsafe/seat`;
            const { services } = await (await fetch(url)).json();
            const { server } = services[0].servers[0];
            const head =
                `X-Tenant: customer\r\nX-Target-Instance: ${server}\r\n` +
                `Pimentocleat-Relay-Server: ${server}\r\nPimentocleat-Relay-Request: ${id}\r\n`;
            const text = `POST /unsafe/seat HTTP/1.1\r\n${common}${head}\r\nseat`;
            const answer = await sendRaw(node.settings.peerPorts[0], text);
            record(`${id} to the relay port of ${node.name}, for ${server}: answer "${answer}"`);
        } else {
            const answer = await sendRaw(
                node.callerPort,
                `POST /unsafe/seat HTTP/1.1\r\n${common}Connection: close\r\n\r\nseat`,
            );
            record(`${id} to the front port of ${node.name}: answer "${answer}"`);
        }
    }
    await wait(500);
    let foreign = 0;
    for (const worker of workers) {
        for (const { requestId, method, path, headers } of worker.runs) {
            if (!asked.has(requestId)) {
                foreign += 1;
                const { "x-tenant": tenant, authorization } = headers;
                record(
                    `${worker.id} ran ${requestId}: ${method} ${path}, tenant ${tenant}, key "${authorization}"`,
                );
            }
        }
    }
    const refused = nodes.reduce(
        (sum, { output }) => sum + output.split('"name":"relayRefused"').length - 1,
        0,
    );
    record(`the nodes say of ${refused} requests that they refused them (log event relayRefused)`);
    record(
        `${foreign} of ${attempts} requests with a key that no configuration ever held were run by a worker`,
    );
    return foreign > 0;
});
