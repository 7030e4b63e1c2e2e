import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** Limits of size and nesting; what is over them today stands in eslint-suppressions.json, which only shrinks. */
const FILE_LINES_MOST = 400;
const FUNCTION_LINES_MOST = 40;
const PARAMETERS_MOST = 4;
const DEPTH_MOST = 3;
const COMPLEXITY_MOST = 15;

/** Words that belong to the platform: its headers, paths and fields stay in platform/ (docs/platform.md). */
const platformWords =
  /chutewick[-_](attempt-id|remaining-ms|expected-instance|answer-seal|not-executed|precedence|token-count|prompt-prefix|hold-ms|base-revision|serving-instance|weight-versions|expected-version|config)\b|\/chutewick\/(lots|items|report|instances|configuration|retire|readiness)|\b(guardMs|targetMs|maxAttempts|queueTokenCap|retentionS|completionTargetMs|gapTargetMs|pathPrefix|routeType|weightedSplit|capacitySlots|cacheTokens|callSequence|warmupLeftMs|reportIntervalMs|bindAddresses|internalPorts|seedNodes|faultTolerance|instanceId|startToken|nextToken|withinS|dead_lettered)\b/i;

const outside = {
  rules: {
    words: {
      meta: {
        type: "problem",
        schema: [],
        messages: { word: "a word of the platform outside platform/: {{word}}" },
      },
      create(context) {
        function look(node, text) {
          const found = platformWords.exec(text);
          if (found !== null) context.report({ node, messageId: "word", data: { word: found[0] } });
        }
        function literal(node) {
          if (typeof node.value === "string") look(node, node.value);
        }
        function template(node) {
          look(node, node.value.raw);
        }
        function identifier(node) {
          look(node, node.name);
        }
        return { Literal: literal, TemplateElement: template, Identifier: identifier };
      },
    },
  },
};

export default tseslint.config(
  { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
  {
    files: ["packages/**/*.ts", "programs/**/*.ts", "tools/**/*.ts", "examples/**/*.ts"],
    plugins: { outside },
    rules: {
      "outside/words": "error",
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              group: ["@chutewick/platform*", "**/platform/**"],
              message: "the adapter is known to nobody",
            },
          ],
        },
      ],
    },
  },
  {
    files: ["**/*.ts"],
    extends: [...tseslint.configs.recommendedTypeChecked],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { jsdoc },
    rules: {
      "no-restricted-syntax": [
        "error",
        {
          selector:
            "PropertyDefinition[accessibility='private'], MethodDefinition[accessibility='private']:not([kind='constructor'])",
          message: "private fields are written with #",
        },
      ],
      "no-inner-declarations": "off",
      "@typescript-eslint/no-this-alias": "off",
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_", varsIgnorePattern: "^_" },
      ],
      "@typescript-eslint/no-explicit-any": "error",
      eqeqeq: "error",
      "max-lines": ["error", { max: FILE_LINES_MOST, skipBlankLines: true, skipComments: true }],
      "max-lines-per-function": [
        "error",
        { max: FUNCTION_LINES_MOST, skipBlankLines: true, skipComments: true },
      ],
      "max-params": ["error", PARAMETERS_MOST],
      "max-depth": ["error", DEPTH_MOST],
      complexity: ["error", COMPLEXITY_MOST],
    },
  },
  {
    files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          enableFixer: false,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
        },
      ],
    },
  },
);
