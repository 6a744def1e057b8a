import globals from "globals";
import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

const naming = [
    { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid", trailingUnderscore: "forbid" },
    { selector: "import", format: ["camelCase", "PascalCase"] },
    { selector: "variable", modifiers: ["const"], format: ["camelCase", "PascalCase"] },
    { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
    { selector: "enumMember", format: ["PascalCase"] },
    { selector: ["objectLiteralProperty", "typeProperty", "objectLiteralMethod"], format: undefined },
].map((rule) => (rule.format === undefined ? { ...rule, format: null } : rule));

export default tseslint.config(
    {
        ignores: [
            "**/lib/**",
            "**/generated/**",
            "**/node_modules/**",
            ".cache/**",
            "target/**",
            "journal/**",
        ],
    },
    ...tseslint.configs.recommended,
    {
        plugins: { tsdoc },
        languageOptions: { globals: globals.node },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined, not null." },
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
            ],
            "prefer-const": "error",
            "@typescript-eslint/no-unused-vars": "error",
            "@typescript-eslint/naming-convention": ["error", ...naming],
            "tsdoc/syntax": "error",
        },
    },
    {
        files: ["packages/policy/src/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: {
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "setImmediate", "performance"],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now", message: "Use the clock." },
                { object: "Math", property: "random", message: "Use the random source." },
            ],
        },
    },
    {
        files: ["*.config.ts", "*.config.js", "*.cjs", "scripts/**"],
        rules: { "no-restricted-syntax": "off" },
    },
);
