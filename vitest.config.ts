import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.spec.ts'],
    // A long search ends by its own budget of time, which is no failure.
    testTimeout: 60_000 + 2_000 * Number(process.env.BEECHLIFT_FUZZ_SECONDS ?? 0),
    hookTimeout: 60_000,
    pool: 'forks',
    maxWorkers: 4,
  },
});
