import { readFileSync } from 'node:fs';
import { parse, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import { BeechliftError } from '../errors/beechliftError';
import type { SchemaFault } from '../utils/schemaFaults';

/** Lists the faults of a document; empty if it is valid. */
export type Validator = (value: unknown) => readonly SchemaFault[];

/**
 * Parses settings in JSON with comments; throws one error that lists every invalid field.
 *
 * @example
 * const settings = parseSettings(text, buildValidator(schema));
 */
export const parseSettings = (text: string, validate: Validator): unknown => {
  const errors: ParseError[] = [];
  const document: unknown = parse(text, errors, { allowTrailingComma: true });
  const [first] = errors;
  if (first) {
    throw new BeechliftError('settingsMalformed', `${printParseErrorCode(first.error)} at character ${first.offset}`);
  }
  const faults = validate(document);
  if (faults.length > 0) {
    const lines = faults.map(({ path, message }) => `${path}: ${message}`);
    throw new BeechliftError('settingsInvalid', lines.join('\n'));
  }
  return document;
};

/**
 * Settings file that can be reloaded while the process runs.
 *
 * @example
 * const file = new SettingsFile('/etc/relay.jsonc', parseRelaySettings, logError, logReload);
 * process.on('SIGHUP', () => file.reload());
 */
export class SettingsFile<Settings> {
  current: Settings;

  private text: string;

  constructor(
    private readonly path: string,
    private readonly parseText: (text: string) => Settings,
    /** Receives the error of a failed reload; the previous settings remain in use. */
    private readonly handleError: (error: unknown) => void,
    private readonly handleReload: () => void,
  ) {
    this.text = this.read();
    this.current = parseText(this.text);
  }

  /** Applies the content of the file if it has changed. */
  reload(): void {
    try {
      const text = this.read();
      if (text === this.text) return;
      // Stored before parsing, so that an invalid text is reported once and not at each reload.
      this.text = text;
      this.current = this.parseText(text);
      this.handleReload();
    } catch (error) {
      this.handleError(error);
    }
  }

  private read(): string {
    try {
      return readFileSync(this.path, 'utf8');
    } catch (cause) {
      throw new BeechliftError('fileUnreadable', `cannot read "${this.path}": ${(cause as Error).message}`, { cause });
    }
  }
}
