import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';
import { describe, expect, it } from 'vitest';
import { validateHeartbeat } from '../../platform/generated/validators';
import { generateValidators } from '../../platform/validators';
import { heartbeatSchema } from '../../platform/workerCallSchemas';
import { listFaults } from '../../src/utils/schemaFaults';
import { buildValidator } from '../../src/utils/schemaValidator';

/** Reads from the deploy file the Node.js flags with which the platform starts a role. */
const readFlags = (role: string): string[] => {
  const deploy = readFileSync('deploy/system.toml', 'utf8');
  const [, command] = new RegExp(`^run = "node (.*target/beechlift.cjs ${role})"$`, 'm').exec(deploy) ?? [];
  if (command === undefined) throw new Error(`deploy/system.toml has no run command for role "${role}"`);
  return command.split(' ').filter((word) => word.startsWith('--'));
};

/** Loads the code cache of a bundle like the launcher; prints whether V8 rejected it. */
const CACHE_CHECK_SCRIPT = `
  const { readFileSync } = require('node:fs');
  const { Script } = require('node:vm');
  const path = process.argv[1];
  const head = '(function (exports, require, module, __filename, __dirname) {';
  const source = head + readFileSync(path, 'utf8') + '\\n})';
  const script = new Script(source, { filename: path, cachedData: readFileSync(path + '.cache') });
  process.stdout.write(String(script.cachedDataRejected));
`;

/*
 * Guards against flags that slow down a restart. V8 accepts compiled code only from a process with
 * the same flags. With a heap limit on the command line, it rejected the cache and also compiled
 * the code that Node.js ships in compiled form, and a start took a quarter longer.
 */
describe.each(['relay', 'control'])('the start of the role "%s"', (role) => {
  it('should use the code that the build compiled', () => {
    const flags = readFlags(role);
    expect(flags).toEqual([]);
    const bundle = resolve(`target/${role}.cjs`);
    const isRejected = execFileSync(process.execPath, [...flags, '-e', CACHE_CHECK_SCRIPT, bundle], { encoding: 'utf8' });
    expect(isRejected).toBe('false');
  });

  /*
   * Guards against schemas that are compiled at every start. Compiling those of the settings and
   * the routing document took a sixth of the processor time of a start.
   */
  it('should compile no schema', async () => {
    const { metafile } = await build({
      entryPoints: [`platform/${role}.ts`], bundle: true, platform: 'node', packages: 'external', write: false, metafile: true,
    });
    const sources = Object.keys(metafile.inputs);
    expect(sources).toContain('platform/generated/validators.js');
    expect(sources).not.toContain('src/utils/schemaValidator.ts');
  });
});

describe('the validators of the programs', () => {
  it('should match the schemas', () => {
    expect(readFileSync('platform/generated/validators.js', 'utf8')).toBe(generateValidators());
  });

  it('should report the same faults as validators that are compiled at run time', () => {
    expect(listFaults(validateHeartbeat, { service: '', address: 'x', slots: 0 })
      .map(({ path, message }) => `${path}: ${message}`)).toEqual(
      buildValidator(heartbeatSchema)({ service: '', address: 'x', slots: 0 })
        .map(({ path, message }) => `${path}: ${message}`),
    );
  });
});
