/** INI parser that keeps the line number of every section and key. @module */
export { formatProblem, parseIni } from './parseIni.ts';
export type { IniFile, IniProblem, IniSection } from './parseIni.ts';
