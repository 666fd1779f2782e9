import { readTextFile } from '../settings/loadSettings';
import { parseRecords } from '../verify/records';
import { verifyRecords } from '../verify/verifyRecords';
import type { BrokenInvariant } from '../verify/verifyRecords';
import { EXIT_CODES, printResult } from './output';

const formatBroken = ({
  invariant, identity, message, story,
}: BrokenInvariant): string => [
  `${invariant}: ${identity}: ${message}`,
  ...story.map((line) => `  ${line}`),
].join('\n');

/** Prints each broken invariant in records of callers and engines, with the request's story. */
export const runVerify = (files: readonly string[], json: boolean): number => {
  const records = files.flatMap((file) => parseRecords(readTextFile(file)));
  const broken = verifyRecords(records);
  const text = broken.length === 0
    ? `${records.length} records, no invariant is broken`
    : broken.map(formatBroken).join('\n');
  printResult({ records: records.length, broken }, text, json);
  return broken.length === 0 ? EXIT_CODES.done : EXIT_CODES.refused;
};
