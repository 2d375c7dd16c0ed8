/** Scripted scenarios and the golden sessions beside them. @module */
export { goldenFile } from './goldenFile.ts';
export { parseScenario, ScenarioError } from './language/mod.ts';
export { Observer } from './observer/mod.ts';
export { runScenario, Session, VERBS } from './session/mod.ts';
export type { RunScenarioOptions, ScenarioReport, SessionOptions } from './session/mod.ts';
