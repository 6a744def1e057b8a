/** Packages of the repository that each package may import. */
const layers = {
    types: [],
    telemetry: ["types"],
    schema: ["types"],
    policy: ["types", "schema"],
    services: ["types", "schema"],
    state: ["types", "schema", "policy", "services", "telemetry"],
    upstream: [],
    gateway: ["types", "telemetry", "policy", "services", "state", "upstream"],
    node: ["types", "telemetry", "schema", "policy", "services", "state", "upstream"],
    standins: ["types", "schema", "services"],
    bench: [
        "types",
        "telemetry",
        "schema",
        "policy",
        "services",
        "state",
        "gateway",
        "node",
        "standins",
        "cli",
    ],
    // The demo launches the stand-ins.
    cli: ["types", "telemetry", "schema", "services", "state", "node", "gateway", "standins"],
};

const layerRules = Object.entries(layers).map(([name, allowed]) => ({
    name: `layer-${name}`,
    severity: "error",
    comment: `packages/${name} may import only: ${allowed.join(", ") || "nothing"}`,
    from: { path: `^packages/${name}/src`, pathNot: "__tests__" },
    to: { path: "^packages/", pathNot: `^packages/(${[name, ...allowed].join("|")})/` },
}));

/** Restrict the names of the platform to its adapter: it imports few packages, and no package imports it. */
const adapterRules = [
    {
        name: "adapter-imports",
        severity: "error",
        comment: "platform/ may import only: types, telemetry, services, state, gateway",
        from: { path: "^platform/src", pathNot: "__tests__" },
        to: { path: "^packages/", pathNot: "^packages/(types|telemetry|services|state|gateway)/" },
    },
    {
        name: "nothing-imports-the-adapter",
        severity: "error",
        from: { path: "^packages/", pathNot: "__tests__" },
        to: { path: "^platform/" },
    },
];

module.exports = {
    forbidden: [
        ...layerRules,
        ...adapterRules,
        { name: "no-circular", severity: "error", from: {}, to: { circular: true } },
        {
            name: "policy-is-pure",
            severity: "error",
            from: { path: "^packages/policy/src", pathNot: "__tests__" },
            to: { dependencyTypes: ["core"] },
        },
    ],
    options: {
        exclude: { path: "(/lib/|/generated/)" },
        doNotFollow: { path: "node_modules" },
        tsPreCompilationDeps: true,
        tsConfig: { fileName: "tsconfig.check.json" },
        enhancedResolveOptions: { exportsFields: ["exports"], conditionNames: ["source", "import", "node"] },
    },
};
