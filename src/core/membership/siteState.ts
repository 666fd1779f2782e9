import type { Member, Replica } from '../../protocol/generated/beechlift';
import type { Manifest } from '../../manifest/manifest';
import { diffManifests } from '../../manifest/manifestDelta';
import type { SectionChange } from '../../manifest/manifestDelta';
import type { ResultCode } from '../../errors/resultCodes';

/** Claim holders as committed in the log. While `previous` is not empty, both sets must agree. */
export interface AgreedHolders {
  readonly number: number;
  readonly current: readonly Replica[];
  readonly previous: readonly Replica[];
}

/** Commands of the log that change the state of the site. */
export type SiteCommand = | { readonly kind: 'manifest'; readonly digest: string; readonly manifest: Manifest }
  | { readonly kind: 'members'; readonly members: readonly Member[] }
  | { readonly kind: 'holders'; readonly current: readonly Replica[]; readonly previous: readonly Replica[] };

/** Result of submitting a manifest. */
export interface SubmitResult {
  readonly code: ResultCode | 'accepted';
  readonly version: number;
  readonly digest: string;
  readonly message: string;
}

/** Changes from one accepted manifest to the next. */
export interface RecentDelta {
  readonly baseVersion: number;
  readonly baseDigest: string;
  readonly changes: readonly SectionChange[];
}

/** Replicated state of a site: equal on all replicas that applied the same commands. */
export interface SiteState {
  manifest: Manifest | undefined;
  digest: string;
  /** Digest by accepted version, newest last. */
  accepted: Map<number, string>;
  members: readonly Member[];
  viewNumber: number;
  holders: AgreedHolders;
  /** Recent changes, sent in place of the whole manifest. Not part of the replicated state. */
  deltas: RecentDelta[];
}

const MAX_ACCEPTED = 4_096;
const MAX_DELTAS = 64;

/** Creates the state of a site that has accepted no manifest. */
export const makeSiteState = (): SiteState => ({
  manifest: undefined,
  digest: '',
  accepted: new Map(),
  members: [],
  viewNumber: 0,
  holders: { number: 0, current: [], previous: [] },
  deltas: [],
});

const getVersion = (state: SiteState): number => state.manifest?.version ?? 0;

const resolveKnownVersion = (
  version: number,
  digest: string,
  acceptedDigest: string,
): SubmitResult => (
  acceptedDigest === digest
    ? {
      code: 'accepted', version, digest, message: 'already accepted',
    }
    : {
      code: 'versionTaken', version, digest: acceptedDigest, message: `version ${version} was already accepted with digest ${acceptedDigest}`,
    }
);

/**
 * Decides whether a manifest is accepted, by comparing its version and digest with the accepted
 * ones. Changes nothing. Resubmitting an accepted manifest is accepted again, even after newer
 * manifests.
 *
 * @example
 * const result = decideManifest(state, manifest, digest);
 */
export const decideManifest = (
  state: SiteState,
  manifest: Manifest,
  digest: string,
): SubmitResult => {
  const { version, basedOn } = manifest;
  const acceptedDigest = state.accepted.get(version);
  if (acceptedDigest !== undefined) return resolveKnownVersion(version, digest, acceptedDigest);
  const current = getVersion(state);
  if (version <= current) {
    return {
      code: 'versionTooLow', version: current, digest: state.digest, message: `version ${version} is not above version ${current}, which is in force`,
    };
  }
  if (basedOn !== undefined && basedOn !== state.digest) {
    return {
      code: 'baseMoved', version: current, digest: state.digest, message: `based on ${basedOn}, but ${state.digest || 'nothing'} is in force`,
    };
  }
  return {
    code: 'accepted', version, digest, message: 'accepted',
  };
};

const storeDelta = (state: SiteState, next: Manifest): void => {
  if (!state.manifest) return;
  state.deltas.push({
    baseVersion: state.manifest.version,
    baseDigest: state.digest,
    changes: diffManifests(state.manifest, next),
  });
  if (state.deltas.length > MAX_DELTAS) state.deltas.shift();
};

const acceptManifest = (state: SiteState, manifest: Manifest, digest: string): void => {
  storeDelta(state, manifest);
  state.manifest = manifest;
  state.digest = digest;
  state.accepted.set(manifest.version, digest);
  const [oldest] = state.accepted.keys();
  if (state.accepted.size > MAX_ACCEPTED && oldest !== undefined) state.accepted.delete(oldest);
};

type CommandOf<Kind extends SiteCommand['kind']> = Extract<SiteCommand, { kind: Kind }>;

type Handlers = { [Kind in SiteCommand['kind']]: (
  state: SiteState, command: CommandOf<Kind>,
) => SubmitResult | undefined };

const commandHandlers: Handlers = {
  manifest: (state, { manifest, digest }) => {
    const result = decideManifest(state, manifest, digest);
    const isNew = result.code === 'accepted' && !state.accepted.has(manifest.version);
    if (isNew) acceptManifest(state, manifest, digest);
    return result;
  },
  members: (state, { members }) => {
    state.members = members;
    state.viewNumber += 1;
    return undefined;
  },
  holders: (state, { current, previous }) => {
    state.holders = { number: state.holders.number + 1, current, previous };
    return undefined;
  },
};

/**
 * Applies a committed command.
 *
 * @example
 * const result = applySiteCommand(state, JSON.parse(entry.command));
 */
export const applySiteCommand = (
  state: SiteState,
  command: SiteCommand,
): SubmitResult | undefined => {
  const handler = commandHandlers[command.kind] as (
    state: SiteState, command: SiteCommand,
  ) => SubmitResult | undefined;
  return handler(state, command);
};

/**
 * Serializes the replicated state for a snapshot.
 *
 * @example
 * const data = formatSiteState(state);
 */
export const formatSiteState = (state: SiteState): string => JSON.stringify({
  ...state, accepted: [...state.accepted], deltas: [],
});

/**
 * Parses the replicated state of a snapshot; an empty text means that nothing has been accepted.
 *
 * @example
 * const state = parseSiteState(snapshot.data);
 */
export const parseSiteState = (data: string): SiteState => {
  if (data === '') return makeSiteState();
  const stored = JSON.parse(data) as SiteState & { accepted: [number, string][] };
  return { ...stored, accepted: new Map(stored.accepted) };
};

/**
 * Collects the changes from an entry's manifest version to the version in force; undefined when
 * they are no longer stored and the whole manifest must be sent.
 *
 * @example
 * const changes = collectChanges(state, 7, digest);
 */
export const collectChanges = (
  state: SiteState,
  version: number,
  digest: string,
): SectionChange[] | undefined => {
  const start = state.deltas.findIndex(({ baseVersion, baseDigest }) => (
    baseVersion === version && baseDigest === digest));
  return start < 0 ? undefined : state.deltas.slice(start).flatMap(({ changes }) => changes);
};
