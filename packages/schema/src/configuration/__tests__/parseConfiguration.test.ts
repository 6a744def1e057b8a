import { describe, expect, it } from "vitest";
import { formatProblem } from "../configurationProblem.js";
import { parseConfiguration } from "../parseConfiguration.js";

const digest = "a".repeat(64);
const valid: Record<string, string> = {
    "10-customers.yaml": "customers:\n  - name: chain\n  - name: press\n    classes: [proofs]\n",
    "20-classes.yaml":
        "classes:\n  - name: proofs\n    tier: 1\n    firstTokenMs: 500\n    completeMs: 4000\n",
    "30-pools.yaml":
        "pools:\n  - name: copy\n    kind: model\n    models: [draft]\n  - name: orders\n    kind: plain\n    servers:\n      - {name: o1, address: 127.0.0.1:9000, dataCentre: catania}\n",
    "40-routes.yaml":
        "routes:\n  - path: /orders\n    methods: [POST]\n    pool: orders\n    repeatable: false\n    class: proofs\n",
    "50-keys.yaml": `keys:\n  - id: chain-1\n    customer: chain\n    digest: ${digest}\n`,
};

function parse(changes: Record<string, string>) {
    const files = Object.entries({ ...valid, ...changes }).map(([name, content]) => ({ name, content }));
    return parseConfiguration(files.reverse());
}

describe("parseConfiguration", () => {
    it("merges the files in the order of their names and applies defaults", () => {
        const { configuration, problems } = parse({
            "11-more.yaml": "customers: [{name: third}]",
            "99-empty.yaml": "",
        });
        expect(problems).toEqual([]);
        expect(configuration?.customers.map((customer) => customer.name)).toEqual([
            "chain",
            "press",
            "third",
        ]);
        expect(configuration?.pools[1]?.servers[0]?.slots).toBe(8);
    });

    it.each([
        [
            "an invalid value",
            "21-x.yaml",
            "classes:\n\n  - name: a\n    tier: 12\n    firstTokenMs: 1\n    completeMs: 1",
            "21-x.yaml:4: classes[0].tier: 12 is not allowed; use at most 9",
        ],
        [
            "a missing field",
            "31-x.yaml",
            "pools:\n  - name: q",
            "31-x.yaml:2: pools[0].kind: the field is missing; use one of model, plain",
        ],
        [
            "an unknown field",
            "11-x.yaml",
            "customers:\n  - name: q\n    colour: red",
            "11-x.yaml:3: customers[0]: unknown field colour; remove it or correct its name",
        ],
        [
            "an unknown list",
            "11-x.yaml",
            "customer: []",
            "11-x.yaml:1: unknown field customer; remove it or correct its name",
        ],
        ["invalid YAML", "11-x.yaml", "customers:\n  - name: [", "11-x.yaml:2: the YAML text is wrong"],
        [
            "a key twice in one mapping",
            "11-x.yaml",
            "customers:\n  - name: q\n    name: r",
            "11-x.yaml:3: the YAML text is wrong: Map keys must be unique",
        ],
        [
            "a scalar instead of a mapping",
            "11-x.yaml",
            "hello",
            '11-x.yaml:1: "hello" is not allowed; use a value of type object',
        ],
        [
            "the same name twice",
            "60-x.yaml",
            "customers:\n  - name: chain",
            '60-x.yaml:2: customers[0].name: the customer "chain" is already defined at 10-customers.yaml:2; remove or rename one of the two',
        ],
        [
            "the same server address twice",
            "31-x.yaml",
            "pools:\n  - name: q\n    kind: plain\n    servers:\n      - {name: z, address: 127.0.0.1:9000, dataCentre: a}",
            '31-x.yaml:5: pools[0].servers[0].address: the backend server address "127.0.0.1:9000" is already defined at 30-pools.yaml:8',
        ],
        [
            "the same digest twice",
            "51-x.yaml",
            `keys:\n  - id: b\n    customer: chain\n    digest: ${digest}`,
            "51-x.yaml:4: keys[0].digest: the digest of a key is already defined at 50-keys.yaml:4",
        ],
        [
            "a secret instead of a digest",
            "51-x.yaml",
            "keys:\n  - id: b\n    customer: chain\n    digest: pk-secret",
            "51-x.yaml:4: keys[0].digest: the given text is not allowed; use the 64 hexadecimal digits",
        ],
        [
            "a missing customer",
            "51-x.yaml",
            `keys:\n  - id: b\n    customer: nobody\n    digest: ${"b".repeat(64)}`,
            '51-x.yaml:3: keys[0].customer: the customer "nobody" does not exist; define it or use one of chain, press',
        ],
        [
            "a missing class",
            "11-x.yaml",
            "customers:\n  - name: q\n    classes: [proofs, nothing]",
            '11-x.yaml:3: customers[0].classes[1]: the class "nothing" does not exist',
        ],
        [
            "the same route twice",
            "41-x.yaml",
            "routes:\n  - {path: /orders, methods: [GET, POST], pool: orders, repeatable: true}",
            '41-x.yaml:2: routes[0].path: the route "POST /orders" is already defined at 40-routes.yaml:2',
        ],
        [
            "a route to a model pool",
            "41-x.yaml",
            "routes:\n  - {path: /q, methods: [GET], pool: copy, repeatable: true}",
            '41-x.yaml:2: routes[0].pool: the pool "copy" is of kind model',
        ],
        [
            "a built-in path",
            "41-x.yaml",
            "routes:\n  - {path: /v1/models, methods: [GET], pool: orders, repeatable: true}",
            'routes[0].path: "/v1/models" is served by the node itself',
        ],
        [
            "an asterisk before the end of a path",
            "41-x.yaml",
            "routes:\n  - {path: /a/*/b, methods: [GET], pool: orders, repeatable: true}",
            'routes[0].path: "/a/*/b" has a * before its end',
        ],
        [
            "an open route without a class",
            "41-x.yaml",
            "routes:\n  - {path: /q, methods: [GET], pool: orders, repeatable: true, open: true}",
            "name a class",
        ],
        [
            "a model in two pools",
            "31-x.yaml",
            "pools:\n  - {name: q, kind: model, models: [draft]}",
            '31-x.yaml:2: pools[0].models[0]: the model "draft" is already defined at 30-pools.yaml:4',
        ],
        [
            "a completion target below the target of the first token",
            "21-x.yaml",
            "classes:\n  - {name: q, tier: 1, firstTokenMs: 10, completeMs: 9}",
            "classes[0].completeMs: 9 is before the target of the first token; use at least 10",
        ],
    ])("reports the location and the correction of %s", (title, name, content, expected) => {
        const { configuration, problems } = parse({ [name]: content });
        expect(configuration, title).toBeUndefined();
        expect(problems.map(formatProblem)).toEqual([expect.stringContaining(expected)]);
    });

    it("reports all problems at once, sorted by file and line", () => {
        const { problems } = parse({
            "11-x.yaml": "customers:\n  - name: Upper\n  - name: q\n    weight: -1\n",
            "60-x.yaml": "customers:\n  - name: chain",
        });
        expect(problems.map((problem) => `${problem.file}:${String(problem.line)}`)).toEqual([
            "11-x.yaml:2",
            "11-x.yaml:4",
            "60-x.yaml:2",
        ]);
    });

    it("reports a problem for a document whose aliases expand exponentially", () => {
        const lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"];
        for (let level = 1; level < 9; level += 1) {
            const alias = `*a${String(level - 1)}`;
            lines.push(
                `a${String(level)}: &a${String(level)} [${Array.from({ length: 10 }, () => alias).join(", ")}]`,
            );
        }
        expect(parse({ "11-x.yaml": lines.join("\n") }).problems.length).toBeGreaterThan(0);
    });
});
