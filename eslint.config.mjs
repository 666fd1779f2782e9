/**
 * Airbnb's rules for TypeScript, and the rules of this repository; docs/DESIGN.md says where they
 * clash.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import house from './tools/eslint/houseRules.mjs';

const MAX_LINE = 100;

export default [
  { ignores: ['dist/', 'target/', 'journal/', 'node_modules/', 'src/protocol/generated/', 'platform/generated/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    plugins: { house },
    rules: {
      'house/verb-names': 'error',
      'house/layer-imports': 'error',
      // One class or concern a file, by name: a default export would say the name twice.
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Entities in tables are changed by the systems that run over them.
      'no-param-reassign': ['error', { props: false }],
      // Texts of errors and formats stay on one line, so that they can be searched for.
      '@stylistic/max-len': ['error', MAX_LINE, 2, {
        ignoreUrls: true,
        ignoreComments: false,
        ignoreStrings: true,
        ignoreTemplateLiterals: true,
        ignoreRegExpLiterals: true,
      }],
      'import-x/extensions': 'off',
      // The steps of a piece of work stay together in its class, also those that need no state.
      'class-methods-use-this': 'off',
      // Command line and log lines go to the standard streams.
      'no-console': 'off',
    },
  },
  {
    files: ['src/**/*.ts', 'scripts/**/*.ts'],
    rules: { 'house/platform-names': 'error' },
  },
  {
    // A wall clock that jumps must move no lease, deadline or timeout: src/utils/clock.ts is the
    // one clock. Log lines show the time of day.
    files: ['src/**/*.ts'],
    ignores: ['src/telemetry/logger.ts'],
    rules: { 'no-restricted-globals': ['error', 'Date'] },
  },
  { files: ['**/*.mjs'], languageOptions: { globals: { console: 'readonly', fetch: 'readonly', process: 'readonly' } } },
];
