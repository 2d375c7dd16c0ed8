/** The language of scripted scenarios: one step a line. @module */
export { parseScenario } from './parseScenario.ts';
export type { Scenario, ScenarioLine, VerbShape } from './parseScenario.ts';
export { ScenarioError } from './scenarioError.ts';
