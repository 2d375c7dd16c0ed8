/** Event streams that can be resumed on another server. @module */
export { EventCutter } from './eventCutter.ts';
