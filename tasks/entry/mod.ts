/** The entry's tasks: callers' requests and links to sidecars. @module */
export { EntryTask } from './entryTask.ts';
export type { EntryStatus, EntryTaskOptions } from './entryTask.ts';
export type { LinkStatus } from './linkTask.ts';
export type {
  CallerRequest,
  CompletionRequest,
  ServiceRequest,
  Submission,
  SubmissionEvent,
} from './request.ts';
