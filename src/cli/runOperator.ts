import type { Replica, StatusReply, SubmitReply } from '../protocol/generated/beechlift';
import { makeErrorFromNumber } from '../errors/beechliftError';
import { findCodeName, resultCodes } from '../errors/resultCodes';
import type { ResultCode } from '../errors/resultCodes';
import { readTextFile } from '../settings/loadSettings';
import { OperatorClient } from './operatorClient';
import { EXIT_CODES, printResult } from './output';

/** Arguments of all commands that call control replicas. */
export interface OperatorArguments {
  readonly control: readonly string[];
  readonly key: string;
  readonly timeout: number;
  readonly json: boolean;
}

const makeClient = ({ control, key }: OperatorArguments): OperatorClient => (
  new OperatorClient(control, key)
);

const requireAccepted = (reply: SubmitReply): SubmitReply => {
  if (reply.code !== 0) throw makeErrorFromNumber(reply.code, reply.message);
  return reply;
};

/** Submits a manifest; safe to repeat. */
export const runSubmit = async (file: string, options: OperatorArguments): Promise<number> => {
  const reply = requireAccepted(
    await makeClient(options).submit(readTextFile(file), options.timeout),
  );
  const { version, digest, message } = reply;
  printResult({ ok: true, version, digest }, `version ${version} ${message}, digest ${digest}`, options.json);
  return EXIT_CODES.done;
};

const formatStatus = (status: StatusReply): string => [
  `replica ${status.id} is ${status.role} in term ${status.term}, leader at ${status.leaderAddress || 'none'}`,
  `manifest version ${status.manifestVersion}, digest ${status.manifestDigest || 'none'}, log index ${status.commitIndex}`,
  `view ${status.viewNumber}, holder set ${status.holders?.number ?? 0} with ${status.holders?.current.map(({ id }) => id).join(', ') ?? ''}, ${status.claims} claims on this replica`,
  ...status.members.map(({ member, manifestVersion, silentMs }) => (
    `  entry ${member?.id} in ${member?.zone}, ${member?.state}, version ${manifestVersion}, last seen ${silentMs} ms ago, callers at ${member?.callerAddress}`)),
].join('\n');

/** Prints the status of the leading control replica and of the entries. */
export const runStatus = async (options: OperatorArguments): Promise<number> => {
  const status = await makeClient(options).readStatus(options.timeout);
  printResult(status, formatStatus(status), options.json);
  return EXIT_CODES.done;
};

/** Starts the replacement of a control replica. */
export const runReplace = async (
  removeId: string,
  add: Replica,
  options: OperatorArguments,
): Promise<number> => {
  const reply = await makeClient(options).changeReplicas({ removeId, add }, options.timeout);
  printResult(reply, `replacing ${removeId} by ${add.id} has ${reply.message}; run status to see when it is complete`, options.json);
  return EXIT_CODES.done;
};

/** Prints what a result code means. */
export const runExplain = (code: string, json: boolean): number => {
  const name = Object.hasOwn(resultCodes, code) ? code as ResultCode : findCodeName(Number(code));
  if (!name) {
    process.stderr.write(`unknown result code "${code}"; docs/CODES.md lists all codes\n`);
    return EXIT_CODES.usage;
  }
  const row = resultCodes[name];
  printResult({ name, ...row }, `${row.number} ${name}: HTTP ${row.status}, ${row.run}\n${row.action}`, json);
  return EXIT_CODES.done;
};
