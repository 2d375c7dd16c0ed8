/** Streams of events, and where they can be gone on with. @module */
export { EventCutter } from './eventCutter.ts';
