/** The sidecar's task: serves entries' calls with its local backend server. @module */
export { SidecarTask } from './sidecarTask.ts';
export type { Backend, SidecarStatus, SidecarTaskOptions } from './sidecarTask.ts';
