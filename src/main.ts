import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { EXIT_CODES, printError } from './cli/output';
import { CHECKED_KINDS, runCheck } from './cli/runCheck';
import type { CheckedKind } from './cli/runCheck';
import { runLocate } from './cli/runLocate';
import {
  runExplain, runReplace, runStatus, runSubmit,
} from './cli/runOperator';
import { runControl, runEntry } from './cli/runProcess';
import { runVerify } from './cli/runVerify';
import { toBeechliftError } from './errors/beechliftError';
import { VERSION } from './version';

const DEFAULT_TIMEOUT_MS = 15_000;

const operatorOptions = {
  control: {
    type: 'string', array: true, demandOption: true, describe: 'Addresses of control replicas',
  },
  key: {
    type: 'string', default: process.env.BEECHLIFT_OPERATOR_KEY ?? '', describe: 'Operator key; BEECHLIFT_OPERATOR_KEY by default',
  },
  timeout: { type: 'number', default: DEFAULT_TIMEOUT_MS, describe: 'Time limit for retries, in milliseconds' },
} as const;

const runCommand = async (
  json: boolean,
  run: () => Promise<number | void> | number,
): Promise<void> => {
  try {
    const code = await run();
    if (typeof code === 'number') process.exitCode = code;
  } catch (thrown) {
    process.exitCode = printError(toBeechliftError(thrown), json);
  }
};

const buildCommandLine = () => yargs(hideBin(process.argv))
  .scriptName('beechlift')
  .version(VERSION)
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON, for pipelines' })
  .command(
    'entry <settings>',
    'Run an entry VM: callers, scheduling, relay',
    (command) => command
      .positional('settings', { type: 'string', demandOption: true })
      .example('$0 entry entry.jsonc', 'serve callers'),
    (argv) => runCommand(argv.json, () => runEntry(argv.settings)),
  )
  .command(
    'control <settings>',
    'Run a control replica: manifest log, membership, claims',
    (command) => command
      .positional('settings', { type: 'string', demandOption: true })
      .example('$0 control control.jsonc', 'serve entries and operators'),
    (argv) => runCommand(argv.json, () => runControl(argv.settings)),
  )
  .command(
    'check [file]',
    'Check a manifest or settings offline',
    (command) => command
      .positional('file', { type: 'string' })
      .option(
        'kind',
        { choices: CHECKED_KINDS, default: CHECKED_KINDS[0] as CheckedKind },
      )
      .option(
        'schema',
        { type: 'boolean', default: false, describe: 'Print the schema of manifests' },
      )
      .example('$0 check manifest.json', 'list every fault')
      .example('$0 check --schema', 'for a build pipeline'),
    (argv) => runCommand(argv.json, () => runCheck(argv)),
  )
  .command(
    'submit <file>',
    'Submit a manifest; safe to repeat',
    (command) => command
      .positional('file', { type: 'string', demandOption: true })
      .options(operatorOptions)
      .example('$0 submit manifest.json --control 10.0.0.1:7200', 'retry until a majority has accepted it'),
    (argv) => runCommand(argv.json, () => runSubmit(argv.file, argv)),
  )
  .command(
    'status',
    'Print the status of the leading control replica and of the entries',
    (command) => command.options(operatorOptions).example('$0 status --control 10.0.0.1:7200', ''),
    (argv) => runCommand(argv.json, () => runStatus(argv)),
  )
  .command(
    'replace <remove> <id> <address> <zone>',
    'Replace a control replica by one that runs with "joining": true',
    (command) => command
      .positional('remove', { type: 'string', demandOption: true })
      .positional('id', { type: 'string', demandOption: true })
      .positional('address', { type: 'string', demandOption: true })
      .positional('zone', { type: 'string', demandOption: true })
      .options(operatorOptions)
      .example('$0 replace c2 c4 10.0.0.4:7200 az-2 --control 10.0.0.1:7200', ''),
    (argv) => runCommand(argv.json, () => runReplace(
      argv.remove,
      { id: argv.id, address: argv.address, zone: argv.zone },
      argv,
    )),
  )
  .command(
    'locate',
    'Ask an entry VM which entry VMs to use',
    (command) => command
      .option('entry', { type: 'string', demandOption: true, describe: 'Address of any entry VM' })
      .option('key', { type: 'string', default: process.env.BEECHLIFT_API_KEY ?? '', describe: 'API key' })
      .option('zone', { type: 'string', default: '', describe: 'Availability zone of the caller' })
      .example('$0 locate --entry 10.0.0.1:7000 --key KEY', ''),
    (argv) => runCommand(argv.json, () => runLocate(argv)),
  )
  .command(
    'explain <code>',
    'Explain a result code',
    (command) => command
      .positional('code', { type: 'string', demandOption: true })
      .example('$0 explain 2001', ''),
    (argv) => runCommand(argv.json, () => runExplain(String(argv.code), argv.json)),
  )
  .command(
    'verify <records..>',
    'Check records of callers and engines for violated invariants',
    (command) => command
      .positional('records', { type: 'string', array: true, demandOption: true })
      .example('$0 verify callers.ndjson engines.ndjson', 'NDJSON with records of kind sent, answer and dispatch'),
    (argv) => runCommand(argv.json, () => runVerify(argv.records, argv.json)),
  )
  .demandCommand(1, 'A command is required.')
  .strict()
  .wrap(100)
  .fail((message, error, parser) => {
    if (error) throw error;
    process.stderr.write(`${message}\n\n`);
    parser.showHelp('error');
    process.exit(EXIT_CODES.usage);
  });

buildCommandLine().parseAsync().catch((thrown: unknown) => {
  process.exitCode = printError(toBeechliftError(thrown), false);
});
