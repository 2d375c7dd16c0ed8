/** The sidecar's tasks: links from entries and the backend server beside it. @module */
export { SidecarTask } from './sidecarTask.ts';
export type { Backend, SidecarStatus, SidecarTaskOptions } from './sidecarTask.ts';
