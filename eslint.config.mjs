// Lint rules that match the TypeScript team's coding guidelines plus this project's verb list (docs/VERBS.md).
import fs from "node:fs";
import eslint from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const verbs = JSON.parse(fs.readFileSync(new URL("./scripts/verbs.json", import.meta.url), "utf8"));

export default tseslint.config(
    { ignores: ["node_modules", "dist", "target", ".cache", "reports", "src/nodes/generated", "**/*.mjs"] },
    eslint.configs.recommended,
    ...tseslint.configs.recommended,
    ...tseslint.configs.stylistic,
    {
        files: ["src/**/*.ts", "bench/**/*.ts", "platform/**/*.ts"],
        plugins: { jsdoc },
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "no-console": "error",
            "no-param-reassign": "error",
            "require-yield": "off",
            "max-lines": ["error", { max: 400 }],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                {
                    selector: "ThrowStatement > Literal, ThrowStatement > TemplateLiteral",
                    message: "Throw or return a typed failure, never a bare string.",
                },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$" }],
            "@typescript-eslint/prefer-for-of": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                {
                    selector: "function",
                    format: ["camelCase"],
                    custom: { regex: `^(${verbs.join("|")})([A-Z0-9]|$)`, match: true },
                },
                { selector: "variable", format: ["camelCase", "PascalCase", "UPPER_CASE"] },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
            ],
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    contexts: ["TSInterfaceDeclaration", "TSEnumDeclaration", "TSTypeAliasDeclaration"],
                },
            ],
        },
    },
    {
        files: ["src/gateway/**/*.ts"],
        ignores: ["**/*.test.ts", "**/_testing/**"],
        // Each promise has an owner that handles its failure; `void` would leave it to the process.
        rules: { "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }] },
    },
    {
        files: ["platform/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-imports": [
                "error",
                { patterns: [{ group: ["**/decisions/**"], message: "platform/ translates and decides nothing." }] },
            ],
        },
    },
    {
        files: ["src/**/*.ts", "bench/**/*.ts"],
        ignores: ["**/*.test.ts", "**/_testing/**"],
        rules: {
            "no-restricted-imports": [
                "error",
                {
                    patterns: [
                        { regex: "^(\\.\\./)+platform/", message: "Nothing outside platform/ knows its names." },
                    ],
                },
            ],
        },
    },
    {
        files: ["**/*.test.ts", "bench/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
