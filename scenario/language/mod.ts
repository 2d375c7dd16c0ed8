/** Parser of the scenario language, which has one step per line. @module */
export { parseScenario } from './parseScenario.ts';
export type { Scenario, ScenarioLine, VerbShape } from './parseScenario.ts';
export { ScenarioError } from './scenarioError.ts';
