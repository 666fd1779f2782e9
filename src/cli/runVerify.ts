import { readTextFile } from '../settings/loadSettings';
import { parseRecords } from '../verify/records';
import { verifyRecords } from '../verify/verifyRecords';
import type { InvariantViolation } from '../verify/verifyRecords';
import { EXIT_CODES, printResult } from './output';

const formatViolation = ({
  invariant, identity, message, story,
}: InvariantViolation): string => [
  `${invariant}: ${identity}: ${message}`,
  ...story.map((line) => `  ${line}`),
].join('\n');

/** Prints each violated invariant in the records of callers and engines, with its events. */
export const runVerify = (files: readonly string[], json: boolean): number => {
  const records = files.flatMap((file) => parseRecords(readTextFile(file)));
  const violations = verifyRecords(records);
  const text = violations.length === 0
    ? `${records.length} records, no invariant is violated`
    : violations.map(formatViolation).join('\n');
  printResult({ records: records.length, broken: violations }, text, json);
  return violations.length === 0 ? EXIT_CODES.done : EXIT_CODES.refused;
};
