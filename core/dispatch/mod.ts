/** Server selection, response classification and retry decisions. @module */
export { chooseServer } from './chooseServer.ts';
export type { Choice, ServerChoiceRequest, RefusalReason } from './chooseServer.ts';
export { judgeAnswer, MISDIRECTED_STATUS } from './judgeAnswer.ts';
export type { AttemptedRequest, AnswerSigns, AnswerVerdict } from './judgeAnswer.ts';
export { mayRunAgain } from './mayRunAgain.ts';
export type { RetryState } from './mayRunAgain.ts';
export { nextStep } from './nextStep.ts';
export type { NextStep, RequestHistory, SendingEnd } from './nextStep.ts';
export { ServerView } from './serverView.ts';
export type { KeeperState } from './serverView.ts';
