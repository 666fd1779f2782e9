/** Runs a case: keeps its record, ends all that it started, and exits with its result. */
import console from 'node:console';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { readNow } from './calls.mjs';

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
/** A case must end within 120 s. */
const MAX_MS = 110_000;

/**
 * Runs a case and exits: with 1 if it returns that its rule was broken, with 0 if the rule held,
 * and with 2 if the case could not run.
 *
 * @param folder where `record.txt` is written
 * @param run receives `{ hasTrouble, record, onEnd }`; returns whether the rule was broken
 */
export const runCase = async (folder, run) => {
  const startedAt = readNow();
  const lines = [];
  const endings = [];
  const record = (text) => {
    lines.push(`${Math.round(readNow() - startedAt)} ms  ${text}`);
  };
  const endAll = async (code) => {
    await Promise.all(endings.map((end) => end()));
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(code);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  setTimeout(() => {
    record('the case took too long');
    endAll(COULD_NOT_RUN);
  }, MAX_MS).unref();
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => endAll(COULD_NOT_RUN)));
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    const isBroken = await run({ hasTrouble, record, onEnd: (end) => endings.push(end) });
    record(isBroken ? 'result: the rule was broken' : 'result: the rule held');
    console.log(lines.at(-1));
    await endAll(isBroken ? BROKEN : HELD);
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    console.log(lines.at(-1));
    await endAll(COULD_NOT_RUN);
  }
};
