/** Conversion of stream origins from and to their form on the wire, where times are relative. */
import type { StreamOriginRecord } from '../../protocol/generated/beechlift';
import type { OriginRecord } from './streamOrigins';

/** Converts a received record. */
export const toOriginRecord = (
  { requestId: id, origin, remainingMs }: StreamOriginRecord,
  now: number,
): OriginRecord => ({ id, origin, expiresAt: now + remainingMs });

/** Converts a record that is sent. */
export const formatOriginRecord = (
  { id: requestId, origin, expiresAt }: OriginRecord,
  now: number,
): StreamOriginRecord => ({
  requestId, origin, remainingMs: Math.max(0, Math.round(expiresAt - now)),
});
