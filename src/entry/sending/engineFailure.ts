/** How far a dispatch got when it failed. */
export type DispatchReach = 'notSent' | 'maybeSent';

/** A connection to an engine that failed. */
export class EngineFailure extends Error {
  constructor(readonly reach: DispatchReach, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'EngineFailure';
  }
}
