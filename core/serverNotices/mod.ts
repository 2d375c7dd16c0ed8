/** What backend servers say of their readiness for further requests. @module */
export { NoticeRegistry } from './noticeRegistry.ts';
export type { NoticeRegistryOptions, NoticeSource } from './noticeRegistry.ts';
export type { NoticeRecord, ServerStart } from './noticeRecord.ts';
