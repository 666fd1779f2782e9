import { buildValidator } from '../utils/schemaValidator';
import { manifestSchema } from './manifestSchema';
import type { Manifest } from './manifest';
import type { ManifestFault } from './manifestFault';

/** Result of checking a text: the manifest, or every fault that was found. */
export type CheckedManifest = | { readonly manifest: Manifest; readonly faults: readonly [] }
  | { readonly manifest: undefined; readonly faults: readonly ManifestFault[] };

type Rule = (manifest: Manifest, previous?: Manifest) => ManifestFault[];

const MAX_TOTAL_HEADROOM = 0.9;

const findUndefined = (
  names: readonly string[],
  definitions: object,
  path: string,
  kind: string,
): ManifestFault[] => names
  .filter((name) => !Object.hasOwn(definitions, name))
  .map((name) => ({ code: 'danglingName', path, message: `${kind} "${name}" is not defined` }));

const checkAccountTiers: Rule = ({ accounts, tiers }, previous) => Object.entries(accounts)
  .flatMap(
    ([name, account]) => findUndefined(account.tiers, tiers, `/accounts/${name}/tiers`, 'tier'),
  )
  .map((fault) => {
    const removed = Object.keys(previous?.tiers ?? {}).some(
      (tier) => fault.message.includes(`"${tier}"`),
    );
    return removed ? { ...fault, code: 'tierInUse' as const } : fault;
  });

const checkPoolNames: Rule = ({ pools, models, services }) => Object.entries(pools)
  .flatMap(([name, pool]) => [
    ...findUndefined(pool.models, models, `/pools/${name}/models`, 'model'),
    ...findUndefined(pool.services, services, `/pools/${name}/services`, 'service'),
  ]);

const checkServingPools: Rule = ({ pools, models, services }) => {
  const workers = Object.values(pools).filter(({ role }) => role === 'worker');
  const offeredModels = new Set(workers.flatMap((pool) => pool.models));
  const offeredServices = new Set(workers.flatMap((pool) => pool.services));
  const findUnserved = (
    names: string[],
    offered: Set<string>,
    section: string,
  ): ManifestFault[] => names
    .filter((name) => !offered.has(name))
    .map((name) => ({
      code: 'uncarriedModel', path: `/${section}/${name}`, message: 'no pool with role "worker" serves it',
    }));
  return [
    ...findUnserved(Object.keys(models), offeredModels, 'models'),
    ...findUnserved(Object.keys(services), offeredServices, 'services'),
  ];
};

const checkHeadroom: Rule = ({ tiers }) => {
  const total = Object.values(tiers).reduce((sum, { headroom }) => sum + headroom, 0);
  if (total <= MAX_TOTAL_HEADROOM) return [];
  return [{
    code: 'headroomAboveCapacity', path: '/tiers', message: `headroom of all tiers is ${total.toFixed(2)}, expected at most ${MAX_TOTAL_HEADROOM}`,
  }];
};

const checkRanks: Rule = ({ tiers }) => {
  const seen = new Map<number, string>();
  return Object.entries(tiers).flatMap(([name, { rank }]): ManifestFault[] => {
    const other = seen.get(rank);
    seen.set(rank, name);
    if (other === undefined) return [];
    return [{ code: 'duplicateRank', path: `/tiers/${name}/rank`, message: `rank ${rank} is already used by tier "${other}"` }];
  });
};

const checkKeys: Rule = ({ accounts }) => {
  const seen = new Map<string, string>();
  return Object.entries(accounts).flatMap(([name, { keyHashes }]) => keyHashes
    .flatMap((keyHash): ManifestFault[] => {
      const other = seen.get(keyHash);
      seen.set(keyHash, name);
      if (other === undefined) return [];
      return [{ code: 'duplicateKey', path: `/accounts/${name}/keyHashes`, message: `account "${other}" has the same key` }];
    }));
};

const checkMigration: Rule = ({ migration, accounts, tiers }) => Object.entries(migration)
  .flatMap(([name, item]) => findUndefined(
    [name],
    item.of === 'account' ? accounts : tiers,
    `/migration/${name}`,
    item.of,
  ));

/*
 * Prevents a queue that is full of requests of the top tier while requests of a lower tier still
 * run: the owner could then neither shed nor queue. No account has more open requests than its
 * concurrency, so the queue never fills if the sum is within the bound.
 */
const checkQueueBound: Rule = ({ accounts, limits }) => {
  const total = Object.values(accounts).reduce((sum, { concurrency }) => sum + concurrency, 0);
  if (total <= limits.queuePerPool) return [];
  return [{
    code: 'limitsAboveBound', path: '/limits/queuePerPool', message: `concurrency of all accounts is ${total}, expected at most ${limits.queuePerPool}`,
  }];
};

const rules: readonly Rule[] = [
  checkAccountTiers,
  checkPoolNames,
  checkServingPools,
  checkHeadroom,
  checkRanks,
  checkKeys,
  checkMigration,
  checkQueueBound,
];

const validateDocument = buildValidator(manifestSchema);

const rejectManifest = (faults: ManifestFault[]): CheckedManifest => ({
  manifest: undefined, faults,
});

/**
 * Parses and checks a manifest, and returns all faults at once.
 *
 * @param previous the current manifest, to detect removed tiers that are still in use
 * @example
 * const { manifest, faults } = checkManifest(text);
 */
export const checkManifest = (text: string, previous?: Manifest): CheckedManifest => {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (thrown) {
    return rejectManifest([{ code: 'manifestMalformed', path: '/', message: (thrown as Error).message }]);
  }
  const schemaFaults = validateDocument(document);
  if (schemaFaults.length > 0) {
    return rejectManifest(schemaFaults.map((fault) => ({ code: 'manifestInvalid', ...fault })));
  }
  const manifest = document as Manifest;
  const faults = rules.flatMap((rule) => rule(manifest, previous));
  return faults.length > 0 ? rejectManifest(faults) : { manifest, faults: [] };
};
