/** How much more each backend server can take, over all entries. @module */
export { expectedCompletionMs, expectedStartMs, hasCapacity } from './serverRoom.ts';
export type { RoomRequest, ServerRoom } from './serverRoom.ts';
export { NO_WORK, WorkAtServer } from './workAtServer.ts';
export type { SentWork, WorkSummary } from './workAtServer.ts';
export { WorkOfEntries } from './workOfEntries.ts';
export { SpeedEstimate } from './speedEstimate.ts';
export type { SpeedState } from './speedEstimate.ts';
export { OutputLengths } from './outputLengths.ts';
export { chooseOfTwo } from './chooseOfTwo.ts';
export { usesServerRoom } from './usesServerRoom.ts';
