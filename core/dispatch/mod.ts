/** Server selection, response classification and retry decisions. @module */
export { chooseServer } from './chooseServer.ts';
export type {
  LimitedServers,
  ServerChoice,
  ServerChoiceRequest,
  WaitReason,
  RefusalReason,
} from './chooseServer.ts';
export { classifyResponse, MISDIRECTED_STATUS } from './classifyResponse.ts';
export type { AttemptedRequest, ResponseHead, ResponseVerdict } from './classifyResponse.ts';
export { mayRunAgain } from './mayRunAgain.ts';
export type { RetryState } from './mayRunAgain.ts';
export { nextStep } from './nextStep.ts';
export type { NextStep, RequestHistory, AttemptOutcome } from './nextStep.ts';
export { ServerView } from './serverView.ts';
export type { KeeperReport } from './serverView.ts';
