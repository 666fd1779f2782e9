/** Settings of the processes, written as JSON with comments. */

/** A control replica. */
export interface ReplicaSetting {
  readonly id: string;
  /** IP and port of its gRPC server. */
  readonly address: string;
  readonly zone: string;
}

/** Settings of `beechlift entry`. */
export interface EntrySettings {
  readonly id: string;
  readonly zone: string;
  /** Address for callers and backend servers, IP and port. */
  readonly callerAddress: string;
  /** Address for other entry VMs, IP and port. */
  readonly peerAddress: string;
  readonly control: readonly ReplicaSetting[];
  readonly heartbeatMs: number;
  readonly logLevel: LogLevel;
  readonly traceFile: string;
  readonly drainMs: number;
}

/** Settings of `beechlift control`. */
export interface ControlSettings {
  readonly id: string;
  readonly zone: string;
  /** Address for entry VMs, other replicas and operators, IP and port. */
  readonly address: string;
  /** Address of `/metrics` and `/v1/status`, IP and port. */
  readonly adminAddress: string;
  /** The replicas with which a new site starts; later the replicated log contains them. */
  readonly replicas: readonly ReplicaSetting[];
  /** The only folder to which this process writes. */
  readonly dataFolder: string;
  /** SHA-256 of the key that may submit the first manifest. */
  readonly firstOperatorKeyHash: string;
  /** True for a replica that joins a running site. */
  readonly joining: boolean;
  readonly leaseMs: number;
  readonly logLevel: LogLevel;
}

/** Lowest level of the log lines that a process writes. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';
