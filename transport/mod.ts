/** WebSocket connections between processes, and the process's clock. @module */
export { dialWebSocket, listenWebSocket } from './webSocketTransport.ts';
export type { ListenAddress, Listener } from './webSocketTransport.ts';
export { readFirstClock, realClock } from './realClock.ts';
