/** HTTP clients of the backend server beside a sidecar. @module */
export { createHttpEngine } from './createHttpEngine.ts';
export type { HttpEngineOptions } from './createHttpEngine.ts';
export { createHttpService } from './createHttpService.ts';
export type { HttpServiceOptions } from './createHttpService.ts';
