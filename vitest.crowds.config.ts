import { defineConfig } from 'vitest/config';
import base from './vitest.config';

/** Tests that measure the memory of processes run one at a time, and apart from all others. */
export default defineConfig({
  test: {
    ...base.test,
    include: ['tests/crowds/**/*.spec.ts'],
    exclude: [],
    maxWorkers: 1,
    fileParallelism: false,
  },
});
