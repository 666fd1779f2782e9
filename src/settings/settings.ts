/** Settings of a process, read from JSON with comments. */

/** Another process of the system. */
export interface ReplicaSetting {
  readonly id: string;
  /** IP and port of its gRPC server. */
  readonly address: string;
  readonly zone: string;
}

/** What `beechlift entry` reads. */
export interface EntrySettings {
  readonly id: string;
  readonly zone: string;
  /** Where callers and backend servers connect, IP and port. */
  readonly callerAddress: string;
  /** Where other entry VMs connect, IP and port. */
  readonly peerAddress: string;
  readonly control: readonly ReplicaSetting[];
  readonly heartbeatMs: number;
  readonly logLevel: LogLevel;
  readonly traceFile: string;
  readonly drainMs: number;
}

/** What `beechlift control` reads. */
export interface ControlSettings {
  readonly id: string;
  readonly zone: string;
  /** Where entry VMs, other replicas and operators connect, IP and port. */
  readonly address: string;
  /** Where `/metrics` and `/v1/status` are served, IP and port. */
  readonly adminAddress: string;
  /** The replicas a new site starts with; afterwards the log knows them. */
  readonly replicas: readonly ReplicaSetting[];
  /** The only folder this process writes to. */
  readonly dataFolder: string;
  /** SHA-256 of the key that may submit the first manifest. */
  readonly firstOperatorKeyHash: string;
  /** True for a replica that joins a running site. */
  readonly joining: boolean;
  readonly leaseMs: number;
  readonly logLevel: LogLevel;
}

/** How much a process logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';
