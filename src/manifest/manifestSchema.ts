/** JSON schema of the manifest; `beechlift check --schema` prints it for build pipelines. */

const MAX_ITEMS = 20_000;
const MAX_NAMES = 1_000;
const NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$';
const SHA256_PATTERN = '^[0-9a-f]{64}$';

const nameList = {
  type: 'array',
  items: {
    type: 'string', pattern: NAME_PATTERN,
  },
  maxItems: MAX_NAMES,
  uniqueItems: true,
};

const buildSection = (properties: object, required: string[]) => ({
  type: 'object',
  maxProperties: MAX_ITEMS,
  propertyNames: { pattern: NAME_PATTERN },
  additionalProperties: {
    type: 'object', properties, required, additionalProperties: false,
  },
  default: {},
});

const buildNumber = (minimum: number, maximum: number, fallback?: number) => ({
  type: 'number', minimum, maximum, ...(fallback === undefined ? {} : { default: fallback }),
});

const buildInteger = (minimum: number, maximum: number, fallback?: number) => ({
  ...buildNumber(minimum, maximum, fallback), type: 'integer',
});

const DAY_MS = 86_400_000;
const MIB = 1_048_576;

/** The schema, for ajv. */
export const manifestSchema = {
  type: 'object',
  required: ['version', 'operators', 'tiers', 'accounts', 'pools'],
  additionalProperties: false,
  properties: {
    version: buildInteger(1, Number.MAX_SAFE_INTEGER),
    basedOn: { type: 'string', pattern: SHA256_PATTERN },
    operators: buildSection({ keyHash: { type: 'string', pattern: SHA256_PATTERN } }, ['keyHash']),
    tiers: buildSection({
      rank: buildInteger(0, 15),
      firstTokenMs: buildInteger(1, DAY_MS),
      totalMs: buildInteger(1, DAY_MS),
      headroom: buildNumber(0, 0.9, 0),
    }, ['rank', 'firstTokenMs', 'totalMs']),
    accounts: buildSection({
      keyHashes: {
        type: 'array', minItems: 1, maxItems: 16, items: { type: 'string', pattern: SHA256_PATTERN },
      },
      tiers: { ...nameList, minItems: 1 },
      concurrency: buildInteger(1, 100_000, 64),
      tokensPerMinute: buildInteger(0, 1e12, 0),
      weight: buildNumber(0.01, 1_000, 1),
    }, ['keyHashes', 'tiers']),
    models: buildSection({
      contextTokens: buildInteger(1, 10_000_000, 32_768),
      adapters: { ...nameList, default: [] },
      modelVersion: { type: 'string', maxLength: 128, default: '1' },
    }, []),
    services: buildSection({
      timeoutMs: buildInteger(1, DAY_MS, 10_000),
      repeatable: {
        type: 'array',
        items: { enum: ['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH'] },
        default: ['GET', 'HEAD'],
      },
    }, []),
    pools: buildSection({
      kind: { enum: ['model', 'service'] },
      role: { enum: ['worker', 'standby'], default: 'worker' },
      models: { ...nameList, default: [] },
      services: { ...nameList, default: [] },
      secretHash: { type: 'string', pattern: `${SHA256_PATTERN}|^$`, default: '' },
      checksFencing: { type: 'boolean', default: false },
    }, ['kind']),
    migration: buildSection({
      of: { enum: ['account', 'tier'] },
      share: buildNumber(0, 1),
      olderAddresses: {
        type: 'array', items: { type: 'string', maxLength: 256 }, minItems: 1, maxItems: 32,
      },
    }, ['of', 'share', 'olderAddresses']),
    limits: {
      type: 'object',
      additionalProperties: false,
      default: {},
      properties: {
        bodyBytes: buildInteger(1_024, 64 * MIB, MIB),
        answerBytes: buildInteger(0, MIB, 65_536),
        queuePerPool: buildInteger(1, 1_000_000, 10_000),
        workersPerPool: buildInteger(1, 10_000, 3_000),
        loadsPerMinute: buildInteger(1, 100_000, 6),
        claimRetentionMs: buildInteger(1_000, DAY_MS, 600_000),
        locateMs: buildInteger(100, 600_000, 5_000),
      },
    },
  },
} as const;
