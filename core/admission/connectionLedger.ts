/** What one connection makes the process hold. */
export type ConnectionHolding = {
  readonly bytes: number;
  /** Whether closing the connection breaks off no request that may be running. */
  readonly mayClose: boolean;
};

/** Bounds the memory that all connections take together. */
export class ConnectionLedger<Connection> {
  readonly #holdings = new Map<Connection, ConnectionHolding>();

  readonly #maxBytes: number;

  #heldBytes = 0;

  /** @param maxBytes Bytes that all connections may take together. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that all connections take. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of connections. */
  get size(): number {
    return this.#holdings.size;
  }

  /** Sets what a connection makes the process hold. */
  set(connection: Connection, holding: ConnectionHolding): void {
    this.#heldBytes += holding.bytes - (this.#holdings.get(connection)?.bytes ?? 0);
    this.#holdings.set(connection, holding);
  }

  /** Removes a connection that has closed. */
  delete(connection: Connection): void {
    this.#heldBytes -= this.#holdings.get(connection)?.bytes ?? 0;
    this.#holdings.delete(connection);
  }

  /** Returns the connection to close while the bound is exceeded: the one that takes most and may be closed. */
  get excess(): Connection | undefined {
    if (this.#heldBytes <= this.#maxBytes) return undefined;
    let largest: Connection | undefined;
    let largestBytes = 0;
    this.#holdings.forEach(({ bytes, mayClose }, connection) => {
      if (!mayClose || bytes <= largestBytes) return;
      largest = connection;
      largestBytes = bytes;
    });
    return largest;
  }
}
