import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "eslint.config.js"] },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-console": "error",
            "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                {
                    selector: "variable",
                    format: ["camelCase", "PascalCase", "UPPER_CASE"],
                    leadingUnderscore: "forbid",
                },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/no-unnecessary-condition": ["error", { allowConstantLoopConditions: "always" }],
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-invalid-void-type": "off",
            "@typescript-eslint/require-await": "off",
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { FunctionDeclaration: true, ClassDeclaration: true },
                contexts: ["TSInterfaceDeclaration"],
            }],
        },
    },
    { files: ["features/**/*.ts", "bench/**/*.ts", "stand-ins/**/*.ts"], rules: { "no-console": "off" } },
);
