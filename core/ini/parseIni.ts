import { parse } from 'ini';

/** A section of an INI file, with line numbers. */
export type IniSection = {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, string>;
  /** The line number of each key. */
  readonly lines: ReadonlyMap<string, number>;
};

/** A problem at a line of a file, with its remedy. */
export type IniProblem = {
  readonly file: string;
  readonly line: number;
  readonly message: string;
};

/** A parsed INI file. */
export type IniFile = {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly problems: readonly IniProblem[];
};

const SECTION = /^\[([^\]]*)\]\s*$/;
const COMMENT_OR_EMPTY = /^\s*([;#].*)?$/;
const KEY = /^\s*([A-Za-z0-9_.-]+)\s*=/;

type MutableSection = {
  readonly name: string;
  readonly line: number;
  readonly values: Map<string, string>;
  readonly lines: Map<string, number>;
};

/** Parses a `key = value` line with the `ini` library, which handles quotes and escapes. */
function readValue(line: string, key: string): string {
  const value: unknown = parse(line.trim())[key];
  return value === null || value === undefined ? '' : String(value);
}

class IniParser {
  readonly #file: string;

  readonly #sections: MutableSection[] = [];

  readonly #problems: IniProblem[] = [];

  readonly #sectionLines = new Map<string, number>();

  constructor(file: string) {
    this.#file = file;
  }

  parseLine(text: string, line: number): void {
    if (COMMENT_OR_EMPTY.test(text)) return;
    const section = SECTION.exec(text.trim());
    if (section !== null) {
      this.#openSection((section[1] ?? '').trim().replace(/\s+/g, ' '), line);
      return;
    }
    const key = KEY.exec(text)?.[1];
    if (key === undefined) {
      this.#addProblem(
        line,
        `"${text.trim()}" is neither [section] nor key = value; correct the line`,
      );
      return;
    }
    this.#addValue(key, text, line);
  }

  finish(): IniFile {
    return { file: this.#file, sections: this.#sections, problems: this.#problems };
  }

  #openSection(name: string, line: number): void {
    const first = this.#sectionLines.get(name);
    if (first !== undefined) {
      this.#addProblem(line, `section [${name}] already stands at line ${first}; keep one of them`);
    }
    this.#sectionLines.set(name, line);
    this.#sections.push({ name, line, values: new Map(), lines: new Map() });
  }

  #addValue(key: string, text: string, line: number): void {
    const section = this.#sections.at(-1);
    if (section === undefined) {
      this.#addProblem(
        line,
        `key "${key}" is outside of any section; move it below a [section] line`,
      );
      return;
    }
    const first = section.lines.get(key);
    if (first !== undefined) {
      this.#addProblem(
        line,
        `key "${key}" of [${section.name}] already stands at line ${first}; keep one`,
      );
      return;
    }
    section.values.set(key, readValue(text, key));
    section.lines.set(key, line);
  }

  #addProblem(line: number, message: string): void {
    this.#problems.push({ file: this.#file, line, message });
  }
}

/**
 * Parses an INI file and records the line number of every section and key.
 *
 * @param file The name of the file, for problems.
 * @param text The content of the file.
 * @returns The sections and all problems.
 * @example
 * ```ts
 * parseIni('a.ini', '[tenant ixchel]').sections[0]?.name; // 'tenant ixchel'
 * ```
 */
export function parseIni(file: string, text: string): IniFile {
  const parser = new IniParser(file);
  text.split(/\r?\n/).forEach((line, index) => parser.parseLine(line, index + 1));
  return parser.finish();
}

/** Formats a problem as `file:line: message`. */
export function formatProblem(problem: IniProblem): string {
  return `${problem.file}:${problem.line}: ${problem.message}`;
}
