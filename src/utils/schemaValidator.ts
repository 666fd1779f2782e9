import { Ajv } from 'ajv';
import type { Options, ValidateFunction } from 'ajv';
import { listFaults } from './schemaFaults';
import type { SchemaFault } from './schemaFaults';

/** Options with which all schemas are compiled, at startup or ahead of time. */
export const SCHEMA_OPTIONS: Options = {
  allErrors: true,
  verbose: true,
  useDefaults: true,
  // A test checks the schemas. Checking them again, or optimizing code that is compiled only once,
  // would slow down the start of each process.
  validateSchema: false,
  code: { optimize: false },
};

const compileSchema = (schema: object): ValidateFunction => (
  new Ajv(SCHEMA_OPTIONS).compile(schema));

/**
 * Builds a function that lists every fault of a document against a JSON schema. The schema is
 * compiled on first use: a process never compiles schemas of other roles, and it starts to listen
 * before it reads its first document.
 *
 * @example
 * const validate = buildValidator({ type: 'object', required: ['id'] });
 * validate({}); // [{ path: '/', message: "must have required property 'id', got {}" }]
 */
export const buildValidator = (schema: object): ((value: unknown) => SchemaFault[]) => {
  let compiled: ValidateFunction | undefined;
  return (value) => {
    compiled ??= compileSchema(schema);
    return listFaults(compiled, value);
  };
};
