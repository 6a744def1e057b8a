import { Code, ConnectError, createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { MemoryTableService } from "@pimentocleat/services";
import { ApplyOutcome, OperatorService, WithdrawOutcome } from "@pimentocleat/schema";
import { TableConfigurationStore } from "@pimentocleat/state";
import { ConsolaLogger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { NodeStatus, OperatorBackend } from "../operatorBackend.js";
import { OperatorServer } from "../operatorServer.js";

const credential = "operator-credential-1";
const status: NodeStatus = {
    name: "node-1",
    dataCentre: "catania",
    state: "ready",
    revision: 3,
    callerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
};

describe("OperatorServer", () => {
    let server: OperatorServer;
    let address: string;
    let lines: string[];
    let pollCount: number;

    beforeEach(async () => {
        lines = [];
        pollCount = 0;
        const clock = new SystemClock();
        const backend: OperatorBackend = {
            configurationStore: new TableConfigurationStore({
                tableService: new MemoryTableService(),
                clock,
            }),
            pollStore: () => Promise.resolve(void (pollCount += 1)),
            withdrawKey: (keyId) =>
                Promise.resolve(
                    keyId === "k1" ? { type: "accepted", recorded: true, peers: 2 } : { type: "unknownKey" },
                ),
            listKeys: () => [],
            isWithdrawn: (keyId) => keyId === "gone",
            readStatus: () => status,
            countRequests: () => 4,
            countUnrecordedWithdrawals: () => 0,
            listNodes: () => [status],
            listPools: () => [],
            findTrace: () => undefined,
        };
        const logger = new ConsolaLogger({
            format: "json",
            level: "debug",
            writeLine: (line) => lines.push(line),
        });
        server = new OperatorServer({ backend, credential, logger });
        address = await server.open("127.0.0.1", 0);
    });

    afterEach(() => server.close());

    function createOperator(token: string | undefined): Client<typeof OperatorService> {
        const transport = createConnectTransport({
            baseUrl: `http://${address}`,
            httpVersion: "1.1",
            interceptors: [
                (next) => (request) => {
                    if (token !== undefined) {
                        request.header.set("authorization", `Bearer ${token}`);
                    }
                    return next(request);
                },
            ],
        });
        return createClient(OperatorService, transport);
    }

    it.each([undefined, "", "operator-credential-2", `${credential}x`])(
        "refuses the credential %j and does not log it",
        async (token) => {
            const call = createOperator(token).getStatus({});
            const error = ConnectError.from(await call.catch((failure: unknown) => failure));
            expect(error.code).toBe(Code.Unauthenticated);
            expect(lines.join()).not.toContain("operator-credential");
        },
    );

    it("applies and reads back a configuration, and reports conflicts and problems", async () => {
        const operator = createOperator(credential);
        const change = { name: "a.yaml", content: "customers: [{name: a}]\n" };
        const applied = await operator.applyConfiguration({ author: "o", changes: [change] });
        expect(applied).toMatchObject({
            outcome: ApplyOutcome.APPLIED,
            revision: 1n,
            changedFiles: ["a.yaml"],
        });
        expect(pollCount).toBe(1);
        expect((await operator.getConfiguration({})).files).toMatchObject([change]);
        const conflict = await operator.applyConfiguration({
            author: "p",
            changes: [{ ...change, content: "" }],
        });
        expect(conflict).toMatchObject({
            outcome: ApplyOutcome.CONFLICT,
            conflicts: [{ name: "a.yaml", revision: 1n, author: "o" }],
        });
        const invalid = await operator.applyConfiguration({
            author: "o",
            changes: [{ name: "b.yaml", content: "customers: [{name: a}]" }],
        });
        expect(invalid).toMatchObject({
            outcome: ApplyOutcome.INVALID,
            problems: [{ file: "b.yaml", line: 1 }],
        });
    });

    it.each(["../a.yaml", "a.txt", "", "a/b.yaml", ".yaml"])("refuses the file name %j", async (name) => {
        const call = createOperator(credential).applyConfiguration({ changes: [{ name, content: "" }] });
        const error = ConnectError.from(await call.catch((failure: unknown) => failure));
        expect(error.code).toBe(Code.InvalidArgument);
    });

    it("returns the secret of a key once and stores only its digest", async () => {
        const operator = createOperator(credential);
        await operator.applyConfiguration({
            author: "o",
            changes: [{ name: "a.yaml", content: "customers: [{name: a}]\n" }],
        });
        const created = await operator.createKey({ author: "o", keyId: "k1", customer: "a" });
        expect(created.secret).toMatch(/^pk-[\w-]{43}$/);
        const again = await operator.createKey({ author: "o", keyId: "k1", customer: "a" });
        expect(again).toMatchObject({ secret: "", result: { outcome: ApplyOutcome.CONFLICT } });
        const stored = JSON.stringify((await operator.getConfiguration({})).files);
        expect(stored).toContain("key-k1.yaml");
        expect(stored + lines.join()).not.toContain(created.secret.slice(3));
        for (const keyId of ["K 1", "gone"]) {
            const wrong = operator.createKey({ author: "o", keyId, customer: "a" });
            const error = ConnectError.from(await wrong.catch((failure: unknown) => failure));
            expect(error.code).toBe(Code.InvalidArgument);
        }
    });

    it("withdraws keys and reports state", async () => {
        const operator = createOperator(credential);
        expect(await operator.withdrawKey({ author: "o", keyId: "k1" })).toMatchObject({
            outcome: WithdrawOutcome.ACCEPTED,
            recorded: true,
            peers: 2,
        });
        expect((await operator.withdrawKey({ author: "o", keyId: "x" })).outcome).toBe(
            WithdrawOutcome.UNKNOWN_KEY,
        );
        expect(await operator.getStatus({})).toMatchObject({
            node: { name: "node-1", revision: 3n },
            requestsInFlight: 4,
        });
        expect((await operator.listNodes({})).nodes).toHaveLength(1);
        expect((await operator.explainRequest({ requestId: "r" })).found).toBe(false);
    });
});
