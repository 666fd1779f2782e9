import type { FastifyServerOptions } from 'fastify';

const refuseSchema = (): never => {
  throw new Error('routes of this server have no schemas; check bodies with buildValidator');
};

/**
 * Options of a server none of whose routes has a schema: the framework is kept from loading its own
 * schema compilers, for which callers would wait after a kill.
 */
export const NO_SCHEMAS: Pick<FastifyServerOptions, 'schemaController'> = {
  schemaController: {
    compilersFactory: {
      buildValidator: () => refuseSchema,
      buildSerializer: () => refuseSchema,
    },
  },
};
