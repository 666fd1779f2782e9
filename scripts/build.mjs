/** Bundles the product, and on demand its development programs, to one file each. */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { build } from 'esbuild';

const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  logLevel: 'warning',
  sourcemap: false,
};

if (process.argv.includes('--platform')) {
  await build({
    ...shared, entryPoints: ['platform/main.ts'], outfile: 'target/beechlift.cjs', minify: true, keepNames: false,
  });
  process.exit(0);
}

await mkdir('dist', { recursive: true });
await build({ ...shared, entryPoints: ['src/main.ts'], outfile: 'dist/beechlift.cjs' });
const extra = process.argv.slice(2).filter((name) => !name.startsWith('-'));
await Promise.all(extra.map((name) => build({
  ...shared, entryPoints: [name], outfile: `dist/${name.replace(/^.*\//, '').replace(/\.ts$/, '.cjs')}`,
})));

if (process.argv.includes('--binary')) {
  const { execFileSync } = await import('node:child_process');
  const { chmod, copyFile } = await import('node:fs/promises');
  const { inject } = await import('postject');
  await writeFile('dist/sea.json', JSON.stringify({
    main: 'dist/beechlift.cjs', output: 'dist/sea.blob', disableExperimentalSEAWarning: true,
  }));
  execFileSync(
    process.execPath,
    ['--experimental-sea-config', 'dist/sea.json'],
    { stdio: 'ignore' },
  );
  await copyFile(process.execPath, 'dist/beechlift');
  await chmod('dist/beechlift', 0o755);
  await inject('dist/beechlift', 'NODE_SEA_BLOB', await readFile('dist/sea.blob'), {
    sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
  });
}
