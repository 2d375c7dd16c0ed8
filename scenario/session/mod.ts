/** Runs scenarios in a simulated system and checks its invariants throughout. @module */
export { runScenario } from './runScenario.ts';
export type { ScenarioReport, RunScenarioOptions } from './runScenario.ts';
export { Session } from './session.ts';
export type { SessionOptions } from './session.ts';
export { VERBS } from './verbs.ts';
