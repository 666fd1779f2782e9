/**
 * Airbnb's rules for TypeScript and the rules of this repository. docs/DESIGN.md describes where
 * they conflict.
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
      // A file is named after its one class or concern: a default export would repeat the name.
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Functions modify the entities in the tables that are passed to them.
      'no-param-reassign': ['error', { props: false }],
      // Error messages and format strings are not broken, so that a text search finds them.
      '@stylistic/max-len': ['error', MAX_LINE, 2, {
        ignoreUrls: true,
        ignoreComments: false,
        ignoreStrings: true,
        ignoreTemplateLiterals: true,
        ignoreRegExpLiterals: true,
      }],
      'import-x/extensions': 'off',
      // Steps of an operation are methods of its class, even if they do not use its state.
      'class-methods-use-this': 'off',
      // Command-line output and log lines are written to the standard streams.
      'no-console': 'off',
    },
  },
  {
    files: ['src/**/*.ts', 'scripts/**/*.ts'],
    rules: { 'house/platform-names': 'error' },
  },
  {
    // Leases, deadlines and timeouts must not depend on the wall clock, which may jump: they use
    // the monotonic clock of src/utils/clock.ts. Only log lines show the time of day.
    files: ['src/**/*.ts'],
    ignores: ['src/telemetry/logger.ts'],
    rules: { 'no-restricted-globals': ['error', 'Date'] },
  },
  { files: ['**/*.mjs'], languageOptions: { globals: { console: 'readonly', fetch: 'readonly', process: 'readonly' } } },
];
