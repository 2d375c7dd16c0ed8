import { hashText } from '../placement/mod.ts';

/** Something that a request may share with others: a prompt part, an adapter or a path, as `KIND:VALUE`. */
export type Trait = string;

/** What the traits of a request are derived from. */
export type RequestFeatures = {
  /** Ids of the parts of the prompt, in order; the last one belongs to the request or its session. */
  readonly promptParts: readonly string[];
  /** The adapter or base model, if any. */
  readonly modelName?: string | undefined;
  /** Path and query. */
  readonly path: string;
};

/** Longest value of a trait; a longer one is replaced by its hash, since traits are passed on. */
const MAX_VALUE_LENGTH = 64;

/** Prompt parts of one request that become traits. */
const MAX_PARTS = 64;

function trait(kind: string, value: string): Trait {
  return `${kind}:${value.length > MAX_VALUE_LENGTH ? `#${hashText(value).toString(36)}` : value}`;
}

/** Returns the traits of a request, the most specific last. */
export function traitsOf({ promptParts, modelName, path }: RequestFeatures): readonly Trait[] {
  const parts = promptParts.slice(0, -1).slice(0, MAX_PARTS);
  const model = modelName === undefined ? [] : [trait('model', modelName)];
  return [...new Set([trait('path', path), ...model, ...parts.map((id) => trait('part', id))])];
}
