// A small stand-in for the users' platform: the row store and the endpoints for duties. It follows the pages: linearizable
// rows with one version counter, long polls of changes, atomic transactions.
import { createServer } from "node:http";

export class Platform {
    rows = new Map();
    version = 0;
    history = [];
    dutyCalls = [];
    waiters = new Set();
    startMs = performance.now();

    async open() {
        this.store = await listen((request, response) => this.handleStore(request, response));
        this.cloud = await listen((request, response) => this.handleDuty(request, response));
        return this;
    }

    get storeAddress() {
        return `127.0.0.1:${this.store.address().port}`;
    }

    get cloudAddress() {
        return `127.0.0.1:${this.cloud.address().port}`;
    }

    close() {
        for (const server of [this.store, this.cloud]) {
            server.closeAllConnections();
            server.close();
        }
    }

    /** Writes a row of an operator or a worker; the value is JSON. */
    put(table, key, value, part = "") {
        this.apply([{ table, part, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }]);
    }

    remove(table, key, part = "") {
        this.apply([{ table, part, key, deleted: true }]);
    }

    apply(changes) {
        this.version += 1;
        for (const { table, part, key, value, deleted } of changes) {
            const name = JSON.stringify([table, part, key]);
            const row = { Table: table, part, Key: key, Value: value, Ver: this.version };
            if (deleted) {
                this.rows.delete(name);
                this.history.push({ Table: table, part, Key: key, Ver: this.version, Deleted: true });
            } else {
                this.rows.set(name, row);
                this.history.push(row);
            }
        }
        for (const waiter of [...this.waiters]) {
            waiter();
        }
        return this.version;
    }

    get nowMs() {
        return Math.round(performance.now() - this.startMs);
    }

    async handleStore(request, response) {
        const url = new URL(request.url, "http://store");
        const text = await readText(request);
        const query = url.searchParams;
        if (request.method === "POST" && url.pathname === "/-/rows-tx") {
            this.handleTransaction(JSON.parse(text), response);
        } else if (url.pathname === "/-/rows-get") {
            const limit = Math.min(500, Number(query.get("Limit") ?? 500));
            const from = query.get("From") ?? "";
            const to = query.get("To") ?? undefined;
            const found = [...this.rows.values()]
                .filter((row) => row.Table === query.get("Table") && row.part === (query.get("part") ?? ""))
                .filter((row) => row.Key >= from && (to === undefined || row.Key < to))
                .sort((left, right) => (left.Key < right.Key ? -1 : 1));
            send(response, 200, {
                Rows: found.slice(0, limit),
                MorePages: found.length > limit,
                Ver: this.version,
                NowMs: this.nowMs,
            });
        } else if (url.pathname === "/-/rows-feed") {
            this.handleFeed(query, response);
        } else {
            send(response, 404, {});
        }
    }

    handleFeed(query, response) {
        const after = Number(query.get("AfterRevision"));
        const read = () => this.history.filter((row) => row.Table === query.get("Table") && row.Ver > after);
        const answer = () => {
            clearTimeout(timer);
            this.waiters.delete(check);
            send(response, 200, { Rows: read(), Ver: this.version, NowMs: this.nowMs });
        };
        const check = () => {
            if (read().length > 0) {
                answer();
            }
        };
        const timer = setTimeout(answer, Math.min(30_000, Number(query.get("WaitMs") ?? 0)));
        this.waiters.add(check);
        response.once("close", () => {
            clearTimeout(timer);
            this.waiters.delete(check);
        });
        check();
    }

    handleTransaction(call, response) {
        const { Expected: expected = [], Puts: puts = [], Delete: deletions = [] } = call;
        const find = (row) => this.rows.get(JSON.stringify([row.Table, row.part ?? "", row.Key]));
        if (expected.some((row) => (find(row)?.Ver ?? 0) !== row.Ver)) {
            const current = expected.map((row) => find(row) ?? { ...row, Ver: 0 });
            send(response, 412, { Rows: current, Ver: this.version, NowMs: this.nowMs });
            return;
        }
        const convert = (row) => ({ table: row.Table, part: row.part ?? "", key: row.Key, value: row.Value });
        const version = this.apply([
            ...puts.map(convert),
            ...deletions.map((row) => ({ ...convert(row), deleted: true })),
        ]);
        send(response, 200, { Ver: version, NowMs: this.nowMs });
    }

    async handleDuty(request, response) {
        const body = await readText(request);
        this.dutyCalls.push({
            atMs: performance.now(),
            path: request.url,
            holder: request.headers["x-duty-holder"],
            fence: Number(request.headers["x-fencing-token"]),
            body: JSON.parse(body),
        });
        send(response, 200, {});
    }
}

async function listen(handler) {
    const server = createServer((request, response) => void handler(request, response));
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    return server;
}

async function readText(request) {
    let text = "";
    for await (const chunk of request) {
        text += String(chunk);
    }
    return text;
}

function send(response, status, value) {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
}
