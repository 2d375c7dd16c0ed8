/** Where requests go, when they are refused and when they are sent again. @module */
export { chooseServer } from './chooseServer.ts';
export type { Choice, ChoiceRequest, RefusalReason } from './chooseServer.ts';
export { judgeAnswer, MISDIRECTED_STATUS } from './judgeAnswer.ts';
export type { AnsweredRequest, AnswerSigns, AnswerVerdict } from './judgeAnswer.ts';
export { mayRunAgain } from './mayRunAgain.ts';
export type { RunCount } from './mayRunAgain.ts';
export { nextStep } from './nextStep.ts';
export type { NextStep, RequestHistory, SendingEnd } from './nextStep.ts';
export { ServerView } from './serverView.ts';
export type { KeeperState } from './serverView.ts';
