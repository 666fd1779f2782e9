import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { formatCodesPage } from '../../src/errors/codesPage';
import { resultCodes } from '../../src/errors/resultCodes';
import { checkManifest } from '../../src/manifest/checkManifest';
import { parseControlSettings, parseEntrySettings } from '../../src/settings/loadSettings';

describe('the pages and examples', () => {
  it('should list the result codes that the program has', () => {
    expect(readFileSync('docs/CODES.md', 'utf8')).toBe(formatCodesPage());
  });

  it('should give every code a number of its own', () => {
    const numbers = Object.values(resultCodes).map(({ number }) => number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });

  it.each(['kiosks', 'registry'])('should hold valid settings and a valid manifest for %s', (site) => {
    const read = (name: string) => readFileSync(`examples/${site}/${name}`, 'utf8');
    expect(checkManifest(read('manifest.json')).faults).toEqual([]);
    const entries = [1, 2, 3, 4, 5, 6].map((vm) => parseEntrySettings(read(`entry-${vm}.jsonc`)));
    const controls = [1, 2, 3].map((vm) => parseControlSettings(read(`control-${vm}.jsonc`)));
    expect(new Set(entries.map(({ zone }) => zone)).size).toBe(3);
    expect(new Set(controls.map(({ zone }) => zone)).size).toBe(3);
  });
});
