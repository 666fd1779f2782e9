import { computeSha256, formatCanonicalJson } from '../utils/canonicalJson';
import type { Manifest } from './manifest';

/** One item that differs between two manifests. */
export interface SectionChange {
  /** Top-level field of the manifest. */
  readonly section: string;
  /** Name of the item in the section; empty if the field is not a section. */
  readonly name: string;
  /** New value as JSON; empty if the item was removed. */
  readonly value: string;
}

type Section = Readonly<Record<string, unknown>>;

const isSection = (value: unknown): value is Section => (
  typeof value === 'object' && value !== null && !Array.isArray(value)
);

const diffSection = (section: string, from: Section, to: Section): SectionChange[] => {
  const names = [...new Set([...Object.keys(from), ...Object.keys(to)])];
  return names.flatMap((name) => {
    const value = name in to ? formatCanonicalJson(to[name]) : '';
    const before = name in from ? formatCanonicalJson(from[name]) : '';
    return value === before ? [] : [{ section, name, value }];
  });
};

/**
 * Lists the items that differ between two manifests.
 *
 * @example
 * const changes = diffManifests(older, newer);
 */
export const diffManifests = (from: Manifest, to: Manifest): SectionChange[] => {
  const before = from as unknown as Section;
  const after = to as unknown as Section;
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return fields.flatMap((field) => {
    const [a, b] = [before[field], after[field]];
    if (isSection(a) && isSection(b)) return diffSection(field, a, b);
    const value = b === undefined ? '' : formatCanonicalJson(b);
    const old = a === undefined ? '' : formatCanonicalJson(a);
    return value === old ? [] : [{ section: field, name: '', value }];
  });
};

type Draft = Record<string, unknown>;

/** Copies a section before its first change, so that the base is not modified. */
const copySection = (draft: Draft, base: Section, section: string): Draft => {
  if (draft[section] === base[section]) draft[section] = { ...(base[section] as Section) };
  return draft[section] as Draft;
};

const applyChange = (draft: Draft, base: Section, change: SectionChange): void => {
  const { section, name, value } = change;
  const parent = name === '' ? draft : copySection(draft, base, section);
  const field = name === '' ? section : name;
  if (value === '') delete parent[field];
  else parent[field] = JSON.parse(value);
};

/**
 * Applies changes to a copy of a manifest. The caller must compare the digest of the result with
 * the expected one. Each section is copied at most once.
 *
 * @example
 * const newer = applyChanges(older, changes);
 */
export const applyChanges = (base: Manifest, changes: readonly SectionChange[]): Manifest => {
  const before = base as unknown as Section;
  const draft: Draft = { ...before };
  changes.forEach((change) => applyChange(draft, before, change));
  return draft as unknown as Manifest;
};

/**
 * Computes the digest that identifies a manifest: SHA-256 of its canonical JSON.
 *
 * @example
 * computeDigest(manifest); // 64 hex digits
 */
export const computeDigest = (manifest: Manifest): string => computeSha256(
  formatCanonicalJson(manifest),
);
