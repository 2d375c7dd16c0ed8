/** Connections between processes over WebSocket. @module */
export { dialWebSocket, listenWebSocket } from './webSocketTransport.ts';
export type { ListenAddress, Listener } from './webSocketTransport.ts';
export { realClock } from './realClock.ts';
