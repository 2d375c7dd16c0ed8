/** HTTP/1.1 as it is carried between callers and backend servers. @module */
export { BackendConnections } from './backendConnections.ts';
export type {
  AnswerEvents,
  BackendConnectionsOptions,
  BackendRequest,
  Sending,
} from './backendConnections.ts';
export { CallerServer } from './callerServer.ts';
export type {
  CallerAnswer,
  CallerAnswerHead,
  CallerRequest,
  CallerServerOptions,
} from './callerServer.ts';
