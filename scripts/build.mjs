/**
 * Bundles each program into one file. Arguments: entry points of further programs to bundle,
 * `--platform` to bundle the programs of the users' platform instead, and `--binary` to build the
 * single executable as well.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, resolve } from 'node:path';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { Script } from 'node:vm';
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

/**
 * Writes the V8 code cache of a bundle. The bundle is loaded first, so that the cache includes the
 * functions that run at load time and starting processes need not compile them.
 */
const writeCodeCache = (path) => {
  const source = readFileSync(path, 'utf8');
  const text = `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
  const script = new Script(text, { filename: path });
  const module = { exports: {} };
  script.runInThisContext()(module.exports, createRequire(path), module, path, dirname(path));
  writeFileSync(`${path}.cache`, script.createCachedData());
};

if (process.argv.includes('--platform')) {
  await mkdir('target', { recursive: true });
  const bundles = [['launcher', 'beechlift'], ['relay', 'relay'], ['control', 'control']];
  await Promise.all(bundles.map(([from, to]) => build({
    ...shared,
    entryPoints: [`platform/${from}.ts`],
    outfile: `target/${to}.cjs`,
    minify: true,
    alias: { undici: './scripts/undiciParts.cjs' },
  })));
  ['relay', 'control'].forEach((name) => writeCodeCache(resolve(`target/${name}.cjs`)));
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
