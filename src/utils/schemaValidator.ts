import { Ajv } from 'ajv';
import type { ErrorObject, ValidateFunction } from 'ajv';

/** One thing that is wrong with a document. */
export interface SchemaFault {
  /** JSON pointer to the field. */
  readonly path: string;
  /** What was expected there, and the value that was found. */
  readonly message: string;
}

const MAX_SHOWN_VALUE = 60;

const formatValue = (value: unknown): string => {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length > MAX_SHOWN_VALUE ? `${text.slice(0, MAX_SHOWN_VALUE)}…` : text;
};

const formatExpectation = (error: ErrorObject): string => {
  const { allowedValues, additionalProperty } = error.params as Record<string, unknown>;
  if (allowedValues) return `expected one of ${JSON.stringify(allowedValues)}`;
  if (additionalProperty) return `unknown field "${String(additionalProperty)}"`;
  return error.message ?? 'is not valid';
};

const toFault = (error: ErrorObject): SchemaFault => ({
  path: error.instancePath || '/',
  message: `${formatExpectation(error)}, got ${formatValue(error.data)}`,
});

const buildCompiled = (schema: object): ValidateFunction => new Ajv({
  allErrors: true,
  verbose: true,
  useDefaults: true,
  // The schemas are ours, and a test checks them: checking them again would take a third of the
  // processor time of a process's start, and optimizing what is compiled once a tenth.
  validateSchema: false,
  code: { optimize: false },
}).compile(schema);

/**
 * Builds a function that lists every fault of a document against a JSON schema. The schema is
 * compiled when it is first used: a process starts without those of other roles, and reads its
 * first document after it has begun to listen.
 *
 * @example
 * const validate = buildValidator({ type: 'object', required: ['id'] });
 * validate({}); // [{ path: '/', message: "must have required property 'id', got {}" }]
 */
export const buildValidator = (schema: object): ((value: unknown) => SchemaFault[]) => {
  let compiled: ValidateFunction | undefined;
  return (value) => {
    compiled ??= buildCompiled(schema);
    return compiled(value) ? [] : (compiled.errors ?? []).map(toFault);
  };
};
