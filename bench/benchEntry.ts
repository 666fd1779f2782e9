/**
 * Runs an entry with a scheduling policy of the benchmark. Arguments: the policy settings that
 * differ from the defaults, as JSON, and the path of the settings file.
 */
import { DEFAULT_POLICY } from '../src/core/schedule/scheduleTables';
import type { PolicySettings } from '../src/core/schedule/scheduleTypes';
import { parseEntrySettings, readTextFile } from '../src/settings/loadSettings';
import { wireEntry } from '../src/wiring';

const [policy = '{}', settingsFile = ''] = process.argv.slice(2);
const settings = parseEntrySettings(readTextFile(settingsFile));

wireEntry(settings, { ...DEFAULT_POLICY, ...JSON.parse(policy) as Partial<PolicySettings> })
  .catch((error: unknown) => {
    console.error(error);
    process.exit(1);
  });
