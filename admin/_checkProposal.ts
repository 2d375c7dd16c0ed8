import { z } from 'zod';
import { formatProblem } from '../core/ini/mod.ts';
import { checkSet, indexSet, parseSet } from '../core/set/mod.ts';
import type { PublishedSet } from '../core/set/mod.ts';
import { compareSets } from './_compareSets.ts';

const MOST_FILES = 200;

const MOST_PROBLEMS = 100;

const proposalSchema = z.object({
  files: z.array(z.object({ file: z.string().max(200), text: z.string() })).max(MOST_FILES),
});

/** The answer to a proposed set. */
export type ProposalAnswer = { readonly status: number; readonly body: unknown };

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Checks a proposed set and compares it with the one in force; nothing is stored.
 *
 * @param text The request's body.
 * @param set The set in force.
 */
export function checkProposal(text: string, set: PublishedSet | undefined): ProposalAnswer {
  const proposal = proposalSchema.safeParse(parseJson(text));
  if (!proposal.success) {
    const detail = 'the body must be {"files": [{"file": NAME, "text": INI}]}; correct it';
    return { status: 400, body: { error: { code: 'bad-request', message: detail } } };
  }
  const parsed = parseSet(proposal.data.files);
  const check = checkSet(parsed.declarations);
  const problems = [...parsed.problems, ...check.problems];
  if (problems.length > 0) {
    const shown = problems.slice(0, MOST_PROBLEMS).map(formatProblem);
    return { status: 200, body: { sound: false, count: problems.length, problems: shown } };
  }
  const proposed = indexSet(check.objects, { generation: 0, digest: '' });
  const differences = compareSets(set, proposed);
  const generation = set?.generation ?? 0;
  return {
    status: 200,
    body: { sound: true, objects: check.objects.length, comparedWith: generation, differences },
  };
}
