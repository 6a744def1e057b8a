/**
 * A small stand-in of the users' platform, as PROTOCOL.md describes it: the row store and the endpoint of the duties.
 */
import { createServer } from "node:http";

const host = "127.0.0.1";
const maximumRows = 500;

/** Reads a body. */
export async function readBody(message) {
    const pieces = [];
    for await (const piece of message) {
        pieces.push(piece);
    }
    return Buffer.concat(pieces).toString("utf8");
}

/** Listens on a free port and returns the address. */
export async function listen(server) {
    await new Promise((resolve) => server.listen(0, host, resolve));
    return `${host}:${String(server.address().port)}`;
}

function sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

function formatId({ Table: table, part = "", Key: key }) {
    return JSON.stringify([table, part, key]);
}

/** Keeps rows under one counter of versions, with conditions and a feed of the changes. */
class Rows {
    constructor() {
        this.rows = new Map();
        this.changes = [];
        this.version = 0;
        this.waiters = [];
    }

    find(id) {
        return this.rows.get(formatId(id));
    }

    apply(transaction) {
        const { Expected: expected = [], Puts: puts = [], Delete: deletes = [] } = transaction;
        if (expected.some((row) => (this.find(row)?.Ver ?? 0) !== row.Ver)) {
            return expected.map((row) => this.find(row)).filter((row) => row !== undefined);
        }
        this.version += 1;
        for (const put of puts) {
            const row = { part: "", ...put, Ver: this.version };
            this.rows.set(formatId(row), row);
            this.changes.push(row);
        }
        for (const id of deletes) {
            this.rows.delete(formatId(id));
            this.changes.push({ part: "", ...id, Ver: this.version, Deleted: true });
        }
        this.waiters.splice(0).forEach((wake) => wake());
        return undefined;
    }

    list(table, part, from, to) {
        return [...this.rows.values()]
            .filter((row) => row.Table === table && row.part === part)
            .filter((row) => row.Key >= from && (to === undefined || row.Key < to))
            .sort((left, right) => Buffer.compare(Buffer.from(left.Key), Buffer.from(right.Key)));
    }

    listChanges(table, after) {
        return this.changes.filter((row) => row.Table === table && row.Ver > after);
    }

    waitForChange(timeoutMs) {
        return new Promise((resolve) => {
            const timer = setTimeout(resolve, timeoutMs);
            this.waiters.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }
}

/** The store and the endpoint of the duties. */
export class Platform {
    constructor() {
        this.rows = new Rows();
        /** Calls of duty holders, in the order of arrival. */
        this.dutyCalls = [];
        this.store = createServer((request, response) => void this.serveStore(request, response));
        this.cloud = createServer((request, response) => void this.serveDuty(request, response));
    }

    async open() {
        this.storeAddress = await listen(this.store);
        this.cloudAddress = await listen(this.cloud);
    }

    close() {
        [this.store, this.cloud].forEach((server) => {
            server.close();
            server.closeAllConnections();
        });
    }

    /** Writes a row of the operator or of a worker. */
    put(table, key, value) {
        const bytes = Buffer.from(JSON.stringify(value)).toString("base64");
        this.rows.apply({ Puts: [{ Table: table, Key: key, Value: bytes }] });
    }

    async serveStore(request, response) {
        const body = await readBody(request);
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        const build = (rows, more) => ({
            Rows: rows,
            Ver: this.rows.version,
            NowMs: Math.floor(performance.now()),
            ...(more === undefined ? {} : { MorePages: more }),
        });
        if (url.pathname === "/-/rows-tx") {
            const conflict = this.rows.apply(JSON.parse(body));
            sendJson(response, conflict === undefined ? 200 : 412, build(conflict ?? []));
        } else if (url.pathname === "/-/rows-get") {
            const limit = Math.min(maximumRows, Number(query.get("Limit") ?? maximumRows));
            const to = query.get("To") ?? undefined;
            const rows = this.rows.list(
                query.get("Table"),
                query.get("part") ?? "",
                query.get("From") ?? "",
                to,
            );
            sendJson(response, 200, build(rows.slice(0, limit), rows.length > limit));
        } else if (url.pathname === "/-/rows-feed") {
            const after = Number(query.get("AfterRevision"));
            const endMs = performance.now() + Number(query.get("WaitMs"));
            let changes = this.rows.listChanges(query.get("Table"), after);
            while (changes.length === 0 && performance.now() < endMs && !response.destroyed) {
                await this.rows.waitForChange(endMs - performance.now());
                changes = this.rows.listChanges(query.get("Table"), after);
            }
            sendJson(response, 200, build(changes));
        } else {
            sendJson(response, 404, {});
        }
    }

    async serveDuty(request, response) {
        const body = await readBody(request);
        this.dutyCalls.push({
            atMs: performance.now(),
            path: request.url,
            holder: request.headers["x-duty-holder"],
            fence: Number(request.headers["x-fencing-token"]),
            body: JSON.parse(body),
        });
        sendJson(response, 200, {});
    }
}
