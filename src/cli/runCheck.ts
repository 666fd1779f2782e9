import { checkManifest } from '../manifest/checkManifest';
import { computeDigest } from '../manifest/manifestDelta';
import { formatFault } from '../manifest/manifestFault';
import { manifestSchema } from '../manifest/manifestSchema';
import { parseControlSettings, parseEntrySettings, readTextFile } from '../settings/loadSettings';
import { EXIT_CODES, printResult } from './output';

/** Kinds of document that `check` validates. */
export type CheckedKind = 'manifest' | 'entry' | 'control';

/** Choices of the option `--kind`. */
export const CHECKED_KINDS: readonly CheckedKind[] = ['manifest', 'entry', 'control'];

/** Arguments of `check`. */
export interface CheckArguments {
  readonly file: string | undefined;
  readonly kind: CheckedKind;
  readonly schema: boolean;
  readonly json: boolean;
}

const checkManifestFile = (text: string, json: boolean): number => {
  const { manifest, faults } = checkManifest(text);
  if (!manifest) {
    printResult({ ok: false, faults }, faults.map(formatFault).join('\n'), json);
    return EXIT_CODES.refused;
  }
  const digest = computeDigest(manifest);
  printResult({ ok: true, version: manifest.version, digest }, `version ${manifest.version} is valid, digest ${digest}`, json);
  return EXIT_CODES.done;
};

const printValidSettings = (json: boolean): number => {
  printResult({ ok: true }, 'the settings are valid', json);
  return EXIT_CODES.done;
};

const checkers: Record<CheckedKind, (text: string, json: boolean) => number> = {
  manifest: checkManifestFile,
  entry: (text, json) => {
    parseEntrySettings(text);
    return printValidSettings(json);
  },
  control: (text, json) => {
    parseControlSettings(text);
    return printValidSettings(json);
  },
};

/** Validates a document offline. */
export const runCheck = ({
  file, kind, schema, json,
}: CheckArguments): number => {
  if (schema || file === undefined) {
    printResult(manifestSchema, JSON.stringify(manifestSchema, null, 2), json);
    return EXIT_CODES.done;
  }
  return checkers[kind](readTextFile(file), json);
};
