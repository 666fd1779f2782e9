import { Announcement } from '../../protocol/generated/beechlift';
import { BeechliftError } from '../../errors/beechliftError';
import type { Manifest } from '../../manifest/manifest';
import { isKeyOf } from '../../utils/secretKey';
import { buildValidator } from '../../utils/schemaValidator';

const name = { type: 'string', pattern: '^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$' };
const nameList = { type: 'array', items: name, maxItems: 256 };
const MAX_SLOTS = 100_000;
const MAX_LOAD_AGE_MS = 600_000;

const announcementSchema = {
  type: 'object',
  required: ['id', 'pool', 'address', 'kind', 'slots', 'state'],
  additionalProperties: false,
  properties: {
    id: name,
    incarnation: { type: 'string', maxLength: 128, default: '' },
    pool: name,
    kind: { enum: ['model', 'service'] },
    address: { type: 'string', pattern: '^(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}$|^\\[[0-9a-fA-F:]+\\]:\\d{1,5}$' },
    zone: { ...name, default: 'unknown' },
    hardware: { ...name, default: 'unknown' },
    models: { ...nameList, default: [] },
    adapters: { ...nameList, default: [] },
    slots: { type: 'integer', minimum: 0, maximum: MAX_SLOTS },
    abilities: {
      type: 'array', maxItems: 16, default: [], items: { enum: ['resume', 'cancel', 'kvExport', 'kvImport', 'fencing', 'orders'] },
    },
    state: { enum: ['ready', 'leaving'] },
    running: {
      type: 'integer', minimum: 0, maximum: MAX_SLOTS, default: 0,
    },
    loadAgeMs: {
      type: 'number', minimum: 0, maximum: MAX_LOAD_AGE_MS, default: 0,
    },
    cacheBlocks: {
      type: 'integer', minimum: 0, maximum: Number.MAX_SAFE_INTEGER, default: 0,
    },
    evictedPrefixes: {
      type: 'array', maxItems: 1_024, items: { type: 'string', maxLength: 64 }, default: [],
    },
    orderDigest: { type: 'string', maxLength: 64, default: '' },
    secret: { type: 'string', maxLength: 256, default: '' },
  },
};

const validate = buildValidator(announcementSchema);

const parseText = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new BeechliftError('announcementInvalid', `the body is not valid JSON: ${(cause as Error).message}`);
  }
};

/**
 * Validates an announcement of a backend server against its schema and the manifest.
 *
 * @example
 * const announcement = readAnnouncement(body, manifest);
 */
export const readAnnouncement = (text: string, manifest: Manifest): Announcement => {
  const document = parseText(text);
  const faults = validate(document);
  if (faults.length > 0) {
    throw new BeechliftError('announcementInvalid', faults.map(({ path, message }) => `${path}: ${message}`).join('\n'));
  }
  const announcement = Announcement.fromPartial(document as Partial<Announcement>);
  const pool = manifest.pools[announcement.pool];
  if (!pool || pool.kind !== announcement.kind) {
    throw new BeechliftError('unknownPool', `manifest version ${manifest.version} has no ${announcement.kind} pool "${announcement.pool}"`);
  }
  if (pool.secretHash !== '' && !isKeyOf(announcement.secret, [pool.secretHash])) {
    throw new BeechliftError('announcementRefused', `pool "${announcement.pool}" requires a secret, and the announcement has none or a wrong one`);
  }
  const poolTargets = pool.kind === 'model' ? pool.models : pool.services;
  return {
    ...announcement,
    secret: '',
    loadAgeMs: Math.round(announcement.loadAgeMs),
    models: announcement.models.filter((model) => poolTargets.includes(model)),
  };
};
