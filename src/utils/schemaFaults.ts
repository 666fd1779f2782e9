import type { ErrorObject, ValidateFunction } from 'ajv';

/** A fault in a document. */
export interface SchemaFault {
  /** JSON pointer to the field. */
  readonly path: string;
  /** What was expected, and the value that was found. */
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

/**
 * Lists every fault of a document against a compiled schema.
 *
 * @example
 * listFaults(validateHeartbeat, {}); // [{ path: '/', message: "must have required property …" }]
 */
export const listFaults = (
  validate: Pick<ValidateFunction, 'errors'> & ((value: unknown) => boolean),
  value: unknown,
): SchemaFault[] => (validate(value) ? [] : (validate.errors ?? []).map(toFault));
