/**
 * A stand-in for the users' platform as their pages describe it: the store of rows and the interface for duties.
 */
import { createServer } from "node:http";

const listen = (server) =>
    new Promise((resolve) =>
        server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`)),
    );

async function readText(request) {
    const pieces = [];
    for await (const piece of request) {
        pieces.push(piece);
    }
    return Buffer.concat(pieces).toString("utf8");
}

function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

/** Rows with one version counter, transactions and a feed of changes. */
export class Store {
    rows = new Map();
    changes = [];
    waiters = new Set();
    version = 0;
    /** Called before each call; a function that returns true has handled it. */
    intercept = undefined;
    server = createServer((request, response) => void this.serve(request, response));

    async open() {
        this.address = await listen(this.server);
        return this.address;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    static id(row) {
        return [row.Table, row.part ?? "", row.Key].join("\n");
    }

    apply(transaction) {
        const expected = transaction.Expected ?? [];
        const find = (row) => this.rows.get(Store.id(row));
        if (expected.some((row) => (find(row)?.Ver ?? 0) !== row.Ver)) {
            return expected.map(find).filter((row) => row !== undefined);
        }
        this.version += 1;
        for (const put of transaction.Puts ?? []) {
            const row = { part: "", ...put, Ver: this.version };
            this.rows.set(Store.id(row), row);
            this.changes.push(row);
        }
        for (const id of transaction.Delete ?? []) {
            this.rows.delete(Store.id(id));
            this.changes.push({ part: "", ...id, Value: "", Ver: this.version, Deleted: true });
        }
        [...this.waiters].forEach((wake) => wake());
        return undefined;
    }

    put(table, key, value) {
        const text = Buffer.from(JSON.stringify(value)).toString("base64");
        this.apply({ Puts: [{ Table: table, Key: key, Value: text }] });
    }

    remove(table, key) {
        this.apply({ Delete: [{ Table: table, Key: key }] });
    }

    list(table) {
        return [...this.rows.values()].filter((row) => row.Table === table);
    }

    body(rows, others = {}) {
        return { Rows: rows, Ver: this.version, NowMs: Math.floor(performance.now()), ...others };
    }

    async serve(request, response) {
        const text = await readText(request);
        const url = new URL(request.url, "http://store");
        if (this.intercept?.({ request, response, url, text }) === true) {
            return;
        }
        const query = url.searchParams;
        if (url.pathname === "/-/rows-tx") {
            const conflict = this.apply(JSON.parse(text));
            send(response, conflict === undefined ? 200 : 412, this.body(conflict ?? []));
        } else if (url.pathname === "/-/rows-get") {
            const from = query.get("From") ?? "";
            const to = query.has("To") ? query.get("To") : undefined;
            const rows = this.list(query.get("Table"))
                .filter((row) => row.part === (query.get("part") ?? ""))
                .filter((row) => row.Key >= from && (to === undefined || row.Key < to))
                .sort((left, right) => (left.Key < right.Key ? -1 : 1));
            const limit = Math.min(500, Number(query.get("Limit") ?? 500));
            const page = rows.slice(0, limit);
            send(response, 200, this.body(page, { MorePages: page.length < rows.length }));
        } else if (url.pathname === "/-/rows-feed") {
            const after = Number(query.get("AfterRevision"));
            const endMs = performance.now() + Number(query.get("WaitMs"));
            const find = () =>
                this.changes.filter((row) => row.Table === query.get("Table") && row.Ver > after);
            while (find().length === 0 && performance.now() < endMs) {
                await this.waitForChange(endMs - performance.now());
            }
            send(response, 200, this.body(find()));
        } else {
            send(response, 404, {});
        }
    }

    waitForChange(ms) {
        return new Promise((resolve) => {
            const wake = () => {
                clearTimeout(timer);
                this.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, ms));
            this.waiters.add(wake);
        });
    }
}

/** Accepts every call of a duty and keeps it. */
export class Duties {
    calls = [];
    server = createServer((request, response) => void this.serve(request, response));

    async open() {
        this.address = await listen(this.server);
        return this.address;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    async serve(request, response) {
        const text = await readText(request);
        this.calls.push({
            atMs: Date.now(),
            path: request.url,
            holder: request.headers["x-duty-holder"],
            token: Number(request.headers["x-fencing-token"]),
            body: JSON.parse(text),
        });
        send(response, 200, {});
    }
}
