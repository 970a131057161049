import js from "@eslint/js";
import tseslint from "typescript-eslint";

/**
 * The house's words are instance, data hall, workspace and endpoint; other names of the same things are refused in
 * code, but for the platform's own in platform/. Exceptions, one by one: NodeJS is a namespace of Node.js.
 */
const otherWords = [
  { pattern: "[bB]ackend", word: "endpoint" },
  { pattern: "[tT]enant", word: "workspace" },
  {
    pattern: "^zones?([A-Z]|$)|[a-z]Zones?([A-Z]|$)|^Zones?([A-Z]|$)",
    word: "hall (data hall)",
  },
  { pattern: "^nodes?([A-Z]|$)|[a-z]Nodes?([A-Z]|$)|^Nodes?([A-IK-Z]|$)", word: "instance" },
];

export default tseslint.config(
  { ignores: ["**/dist/**", "target/**", "journal/**", "node_modules/**", ".tap/**", "tap-snapshots/**"] },
  js.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      eqeqeq: "error",
      "prefer-const": "error",
      "max-depth": ["error", 4],
      "max-lines-per-function": ["error", { max: 80, skipBlankLines: true, skipComments: true }],
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/require-await": "off",
      "@typescript-eslint/restrict-template-expressions": "off",
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
    },
  },
  {
    files: ["**/test/**/*.ts"],
    rules: { "max-lines-per-function": "off", "@typescript-eslint/no-floating-promises": "off" },
  },
  {
    files: ["**/*.mjs", "**/*.js"],
    ...tseslint.configs.disableTypeChecked,
    languageOptions: {
      parserOptions: { projectService: false, program: null, project: false },
      globals: { console: "readonly", process: "readonly", URL: "readonly" },
    },
  },
  {
    files: ["packages/**/*.ts", "deploy/**/*.ts"],
    rules: {
      "no-restricted-syntax": [
        "error",
        ...otherWords.map(({ pattern, word }) => ({
          selector: `Identifier[name=/${pattern}/]`,
          message: `The house's word is ${word}.`,
        })),
      ],
    },
  },
);
