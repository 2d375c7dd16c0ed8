/** Runs scenarios in a virtual world under one observer. @module */
export { runScenario } from './runScenario.ts';
export type { ScenarioReport, RunScenarioOptions } from './runScenario.ts';
export { Session } from './session.ts';
export type { SessionOptions } from './session.ts';
export { VERBS } from './verbs.ts';
