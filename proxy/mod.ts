/** The HTTP/1.1 server for callers and the HTTP/1.1 connections to backend servers. @module */
export { BackendConnections } from './backendConnections.ts';
export { ConnectionsExhaustedError } from './connectionsExhaustedError.ts';
export type {
  ResponseEvents,
  BackendConnectionsOptions,
  BackendRequest,
  RequestHandle,
} from './backendConnections.ts';
export { CallerServer } from './callerServer.ts';
export type {
  CallerResponse,
  CallerResponseHead,
  CallerRequest,
  EarlyRequest,
  CallerServerOptions,
} from './callerServer.ts';
export type { ProbeResult } from './_probeServer.ts';
