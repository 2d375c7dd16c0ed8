/** Message queues of tasks. @module */
export { Mailbox } from './mailbox.ts';
export type { MailboxOptions } from './mailbox.ts';
