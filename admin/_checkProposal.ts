import { z } from 'zod';
import { formatProblem } from '../core/ini/mod.ts';
import { checkSet, indexSet, parseSet } from '../core/set/mod.ts';
import type { PublishedSet } from '../core/set/mod.ts';
import { compareSets } from './_compareSets.ts';

const MAX_FILES = 200;

const MAX_PROBLEMS = 100;

const proposalSchema = z.object({
  files: z.array(z.object({ file: z.string().max(200), text: z.string() })).max(MAX_FILES),
});

/** The HTTP response to a proposed set. */
export type ProposalResponse = { readonly status: number; readonly body: unknown };

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Validates a proposed set and compares it with the set in force, without storing it.
 *
 * @param text The request's body.
 * @param set The set in force.
 */
export function checkProposal(text: string, set: PublishedSet | undefined): ProposalResponse {
  const proposal = proposalSchema.safeParse(parseJson(text));
  if (!proposal.success) {
    const detail = 'the body must be JSON of the form {"files": [{"file": NAME, "text": INI}]}';
    return { status: 400, body: { error: { code: 'bad-request', message: detail } } };
  }
  const parsed = parseSet(proposal.data.files);
  const check = checkSet(parsed.declarations);
  const problems = [...parsed.problems, ...check.problems];
  if (problems.length > 0) {
    const shown = problems.slice(0, MAX_PROBLEMS).map(formatProblem);
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
