/** Event streams that can be resumed on another server. @module */
export { ResumableEventBuffer } from './resumableEventBuffer.ts';
export { EventBoundary } from './eventBoundary.ts';
