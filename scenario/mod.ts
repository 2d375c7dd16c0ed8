/** Scripted simulations of the system, and the golden files that hold their expected journals. @module */
export { goldenFile } from './goldenFile.ts';
export { parseScenario, ScenarioError } from './language/mod.ts';
export { Observer } from './observer/mod.ts';
export { runScenario, Session, VERBS } from './session/mod.ts';
export type { RunScenarioOptions, ScenarioReport, SessionOptions } from './session/mod.ts';
