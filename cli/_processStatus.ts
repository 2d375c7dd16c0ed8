import { z } from 'zod';
import { readAdmin } from '../admin/mod.ts';

const statusSchema = z.looseObject({
  identity: z.object({ role: z.string(), host: z.string(), incarnation: z.string() }),
  generation: z.number(),
  digest: z.string(),
  leaving: z.boolean(),
  links: z
    .array(
      z.object({
        host: z.string(),
        health: z.string(),
        peerSet: z.object({ generation: z.number() }),
      }),
    )
    .default([]),
});

/** The status of one process, or why it could not be read. */
export type StatusResult =
  | {
      readonly kind: 'status';
      readonly url: string;
      readonly status: z.output<typeof statusSchema>;
    }
  | { readonly kind: 'problem'; readonly url: string; readonly detail: string };

/** Fetches the status of one process from its administration API. */
export async function readStatus(url: string, token: string): Promise<StatusResult> {
  const result = await readAdmin(url, '/admin/v1/status', { token });
  if (result.kind !== 'answer') return { kind: 'problem', url, detail: result.detail };
  const status = statusSchema.safeParse(result.value);
  if (status.success) return { kind: 'status', url, status: status.data };
  return {
    kind: 'problem',
    url,
    detail: 'the response is not a valid status; check the version of the process',
  };
}

/**
 * Lists the processes and link peers where a generation is not known to be in force: those with an
 * older generation, unreachable processes and peers whose link is not ready.
 */
export function findLagging(results: readonly StatusResult[], generation: number): string[] {
  return results.flatMap((result) => {
    if (result.kind === 'problem') return [result.url];
    const { identity, links, generation: activeGeneration } = result.status;
    const peers = links
      .filter((link) => link.health !== 'ready' || link.peerSet.generation < generation)
      .map((link) => `${link.host} (seen by ${identity.host})`);
    return activeGeneration < generation ? [identity.host, ...peers] : peers;
  });
}

/** Formats statuses, one line for each process. */
export function formatStatuses(results: readonly StatusResult[]): string {
  const lines = results.map((result) => {
    if (result.kind === 'problem') return `${result.url}  ${result.detail}`;
    const { identity, generation, digest, leaving, links } = result.status;
    const ready = links.filter((link) => link.health === 'ready').length;
    const parts = [
      identity.host,
      identity.role,
      `generation ${generation}`,
      `digest ${digest.slice(0, 12)}`,
      links.length === 0 ? '' : `links ${ready}/${links.length} ready`,
      leaving ? 'leaving' : '',
    ];
    return parts.filter((part) => part !== '').join('  ');
  });
  return `${lines.join('\n')}\n`;
}
