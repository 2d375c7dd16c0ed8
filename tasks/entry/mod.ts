/** The entry's tasks: serving callers' requests over links to sidecars. @module */
export { EntryTask } from './entryTask.ts';
export type { EntryInspection, EntryStatus, EntryTaskOptions } from './entryTask.ts';
export { explainPlacement } from './explainPlacement.ts';
export type { ExplainedCandidate, PlacementExplanation } from './explainPlacement.ts';
export type { LinkStatus } from './linkTask.ts';
export { UNKNOWN_TOKEN } from './unknownToken.ts';
export type {
  CallerRequest,
  CompletionRequest,
  ServiceRequest,
  Submission,
  SubmissionEvent,
} from './request.ts';
