/** JSON schemas of the settings. */

const ADDRESS_PATTERN = '^(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}$|^\\[[0-9a-fA-F:]+\\]:\\d{1,5}$';
const SHA256_PATTERN = '^[0-9a-f]{64}$';

const name = { type: 'string', pattern: '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$' };
const address = { type: 'string', pattern: ADDRESS_PATTERN };
const logLevel = { enum: ['debug', 'info', 'warn', 'error', 'silent'], default: 'info' };

const replicas = {
  type: 'array',
  minItems: 1,
  maxItems: 5,
  items: {
    type: 'object',
    required: ['id', 'address', 'zone'],
    additionalProperties: false,
    properties: { id: name, address, zone: name },
  },
};

/** Schema of `entry` settings. */
export const entrySettingsSchema = {
  type: 'object',
  required: ['id', 'zone', 'callerAddress', 'peerAddress', 'control'],
  additionalProperties: false,
  properties: {
    id: name,
    zone: name,
    callerAddress: address,
    peerAddress: address,
    control: replicas,
    heartbeatMs: {
      type: 'integer', minimum: 50, maximum: 1_000, default: 500,
    },
    logLevel,
    traceFile: { type: 'string', default: '' },
    drainMs: {
      type: 'integer', minimum: 0, maximum: 3_600_000, default: 120_000,
    },
  },
};

/** Schema of `control` settings. */
export const controlSettingsSchema = {
  type: 'object',
  required: [
    'id', 'zone', 'address', 'adminAddress', 'replicas', 'dataFolder', 'firstOperatorKeyHash',
  ],
  additionalProperties: false,
  properties: {
    id: name,
    zone: name,
    address,
    adminAddress: address,
    replicas,
    dataFolder: { type: 'string', minLength: 1 },
    firstOperatorKeyHash: { type: 'string', pattern: SHA256_PATTERN },
    joining: { type: 'boolean', default: false },
    leaseMs: {
      type: 'integer', minimum: 300, maximum: 5_000, default: 3_000,
    },
    logLevel,
  },
};
