/** HTTP clients of a sidecar's local backend server: an engine or a plain service. @module */
export { createHttpEngine } from './createHttpEngine.ts';
export type { HttpEngineOptions } from './createHttpEngine.ts';
export { createHttpService } from './createHttpService.ts';
export type { HttpServiceOptions } from './createHttpService.ts';
