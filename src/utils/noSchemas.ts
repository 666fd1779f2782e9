import type { FastifyServerOptions } from 'fastify';

const refuseSchema = (): never => {
  throw new Error('routes of this server must not have schemas; validate bodies with buildValidator');
};

/**
 * Options of a server whose routes have no schemas. They prevent the framework from loading its
 * schema compilers, which would prolong the outage after a process was killed.
 */
export const NO_SCHEMAS: Pick<FastifyServerOptions, 'schemaController'> = {
  schemaController: {
    compilersFactory: {
      buildValidator: () => refuseSchema,
      buildSerializer: () => refuseSchema,
    },
  },
};
