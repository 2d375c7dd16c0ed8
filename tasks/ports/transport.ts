/** One open or opening connection between two processes. */
export type Connection = {
  readonly send: (bytes: Uint8Array) => void;
  readonly close: () => void;
};

/** What a connection's owner is told; nothing follows `closed`. */
export type ConnectionEvents = {
  readonly opened: () => void;
  readonly received: (bytes: Uint8Array) => void;
  readonly closed: () => void;
};

/** Opens a connection to `ip:port`; a failure shows as `closed`. */
export type Dial = (address: string, events: ConnectionEvents) => Connection;

/** Told of each accepted connection; returns what to tell of it. */
export type Accept = (connection: Connection) => ConnectionEvents;
