/** A connection between two processes, open or being established. */
export type Connection = {
  readonly send: (bytes: Uint8Array) => void;
  readonly close: () => void;
};

/** Callbacks of a connection; none is called after `closed`. */
export type ConnectionEvents = {
  readonly opened: () => void;
  readonly received: (bytes: Uint8Array) => void;
  readonly closed: () => void;
};

/** Opens a connection to `ip:port`; a failure is reported as `closed`. */
export type Dial = (address: string, events: ConnectionEvents) => Connection;

/** Called with each accepted connection; returns its callbacks. */
export type Accept = (connection: Connection) => ConnectionEvents;
