/** Helpers for HTTP servers, an agent of HTTP clients, the intake of requests, and a parser of server-sent events. @module */
export { CallerLimiter } from './callerLimiter.ts';
export type { CallerLimiterOptions, ReadingRequest } from './callerLimiter.ts';
export { createHttpAgent } from './createHttpAgent.ts';
export type { HttpAgentOptions } from './createHttpAgent.ts';
export { isDisconnected } from './isDisconnected.ts';
export { listenHttp } from './listen.ts';
export type { HttpAddress, HttpHandler, HttpListener } from './listen.ts';
export { readBody } from './readBody.ts';
export type { BodyResult } from './readBody.ts';
export type { SocketReads } from './_loopTurns.ts';
export { onCallerGone, RequestIntake } from './requestIntake.ts';
export type { ReadRequest, RequestArrival, RequestIntakeOptions } from './requestIntake.ts';
export { RequestBody } from './requestBody.ts';
export { respondJson, respondText } from './respond.ts';
export { ServerSentEventParser } from './serverSentEvents.ts';
