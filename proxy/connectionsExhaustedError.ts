/** All connections to a backend server are in use. */
export class ConnectionsExhaustedError extends Error {
  override readonly name = 'ConnectionsExhaustedError';

  constructor() {
    super('all connections to the backend server are in use; add servers, or send it less');
  }
}
