/** Statuses whose answers end with their head, whatever it says (RFC 9112, section 6.3). */
export const BODILESS_STATUSES: readonly number[] = [204, 304];
