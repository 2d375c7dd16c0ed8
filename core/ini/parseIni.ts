import { parse } from 'ini';

/** One `[section]` of an INI file with the lines on which its parts stand. */
export type IniSection = {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, string>;
  /** The line of each key. */
  readonly lines: ReadonlyMap<string, number>;
};

/** A place in a file at which something is wrong, and the remedy. */
export type IniProblem = {
  readonly file: string;
  readonly line: number;
  readonly message: string;
};

/** What a file contains. */
export type IniFile = {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly problems: readonly IniProblem[];
};

const SECTION = /^\[([^\]]*)\]\s*$/;
const COMMENT_OR_EMPTY = /^\s*([;#].*)?$/;
const KEY = /^\s*([A-Za-z0-9_.-]+)\s*=/;

type Draft = {
  readonly name: string;
  readonly line: number;
  readonly values: Map<string, string>;
  readonly lines: Map<string, number>;
};

/** Reads one `key = value` line by the `ini` library, so that quotes and escapes are its. */
function readValue(line: string, key: string): string {
  const value: unknown = parse(line.trim())[key];
  return value === null || value === undefined ? '' : String(value);
}

class IniReader {
  readonly #file: string;

  readonly #sections: Draft[] = [];

  readonly #problems: IniProblem[] = [];

  readonly #seen = new Map<string, number>();

  constructor(file: string) {
    this.#file = file;
  }

  readLine(text: string, line: number): void {
    if (COMMENT_OR_EMPTY.test(text)) return;
    const section = SECTION.exec(text.trim());
    if (section !== null) {
      this.#openSection((section[1] ?? '').trim().replace(/\s+/g, ' '), line);
      return;
    }
    const key = KEY.exec(text)?.[1];
    if (key === undefined) {
      this.#report(line, `"${text.trim()}" is neither [section] nor key = value; correct the line`);
      return;
    }
    this.#addValue(key, text, line);
  }

  finish(): IniFile {
    return { file: this.#file, sections: this.#sections, problems: this.#problems };
  }

  #openSection(name: string, line: number): void {
    const first = this.#seen.get(name);
    if (first !== undefined) {
      this.#report(line, `section [${name}] already stands at line ${first}; keep one of them`);
    }
    this.#seen.set(name, line);
    this.#sections.push({ name, line, values: new Map(), lines: new Map() });
  }

  #addValue(key: string, text: string, line: number): void {
    const section = this.#sections.at(-1);
    if (section === undefined) {
      this.#report(line, `key "${key}" stands before any [section]; move it below one`);
      return;
    }
    const first = section.lines.get(key);
    if (first !== undefined) {
      this.#report(
        line,
        `key "${key}" of [${section.name}] already stands at line ${first}; keep one`,
      );
      return;
    }
    section.values.set(key, readValue(text, key));
    section.lines.set(key, line);
  }

  #report(line: number, message: string): void {
    this.#problems.push({ file: this.#file, line, message });
  }
}

/**
 * Parses an INI file and keeps the line of every section and key.
 *
 * @param file The file's name, for messages.
 * @param text The file's content.
 * @returns The sections, and every problem found.
 * @example
 * ```ts
 * parseIni('a.ini', '[tenant ixchel]').sections[0]?.name; // 'tenant ixchel'
 * ```
 */
export function parseIni(file: string, text: string): IniFile {
  const reader = new IniReader(file);
  text.split(/\r?\n/).forEach((line, index) => reader.readLine(line, index + 1));
  return reader.finish();
}

/** Formats a problem as `file:line: message`. */
export function formatProblem(problem: IniProblem): string {
  return `${problem.file}:${problem.line}: ${problem.message}`;
}
