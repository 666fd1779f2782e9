import { readFileSync } from 'node:fs';
import { BeechliftError } from '../errors/beechliftError';
import { buildValidator } from '../utils/schemaValidator';
import { controlSettingsSchema, entrySettingsSchema } from './settingsSchema';
import { parseSettings } from './settingsFile';
import type { ControlSettings, EntrySettings } from './settings';

/**
 * Reads a text file; throws `fileUnreadable`.
 *
 * @example
 * const text = readTextFile('examples/kiosks/manifest.json');
 */
export const readTextFile = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new BeechliftError('fileUnreadable', `cannot read "${path}": ${(cause as Error).message}`, { cause });
  }
};

const validateEntry = buildValidator(entrySettingsSchema);
const validateControl = buildValidator(controlSettingsSchema);

/**
 * Parses the settings of an entry process; throws one error that lists every invalid field.
 *
 * @example
 * const settings = parseEntrySettings(readTextFile('entry.jsonc'));
 */
export const parseEntrySettings = (text: string): EntrySettings => (
  parseSettings(text, validateEntry) as EntrySettings
);

/**
 * Parses the settings of a control process; throws one error that lists every invalid field.
 *
 * @example
 * const settings = parseControlSettings(readTextFile('control.jsonc'));
 */
export const parseControlSettings = (text: string): ControlSettings => (
  parseSettings(text, validateControl) as ControlSettings
);
