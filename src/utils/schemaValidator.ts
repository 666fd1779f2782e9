import { Ajv } from 'ajv';
import type { Options, ValidateFunction } from 'ajv';
import { listFaults } from './schemaFaults';
import type { SchemaFault } from './schemaFaults';

/** How all schemas are compiled, at a start or ahead of it. */
export const SCHEMA_OPTIONS: Options = {
  allErrors: true,
  verbose: true,
  useDefaults: true,
  // The schemas are ours, and a test checks them: checking them again would take a third of the
  // processor time of a process's start, and optimizing what is compiled once a tenth.
  validateSchema: false,
  code: { optimize: false },
};

const compileSchema = (schema: object): ValidateFunction => (
  new Ajv(SCHEMA_OPTIONS).compile(schema));

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
    compiled ??= compileSchema(schema);
    return listFaults(compiled, value);
  };
};
