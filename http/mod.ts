/** Small helpers round HTTP servers. @module */
export { listenHttp } from './listen.ts';
export type { HttpAddress, HttpHandler, HttpListener } from './listen.ts';
export { readBody } from './readBody.ts';
export type { BodyReading } from './readBody.ts';
export { respondJson, respondText } from './respond.ts';
export { EventSplitter } from './serverSentEvents.ts';
