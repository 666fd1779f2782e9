/** Whether any part of a failed dispatch can have reached the backend server. */
export type DispatchReach = 'notSent' | 'maybeSent';

/** A failed connection to an engine. */
export class EngineFailure extends Error {
  constructor(readonly reach: DispatchReach, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'EngineFailure';
  }
}
