/** INI files with the line of every key. @module */
export { formatProblem, parseIni } from './parseIni.ts';
export type { IniFile, IniProblem, IniSection } from './parseIni.ts';
