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

/** What one process says of itself, or why it does not. */
export type StatusReading =
  | {
      readonly kind: 'status';
      readonly url: string;
      readonly status: z.output<typeof statusSchema>;
    }
  | { readonly kind: 'problem'; readonly url: string; readonly detail: string };

/** Reads the status of one process. */
export async function readStatus(url: string, token: string): Promise<StatusReading> {
  const reading = await readAdmin(url, '/admin/v1/status', { token });
  if (reading.kind !== 'answer') return { kind: 'problem', url, detail: reading.detail };
  const status = statusSchema.safeParse(reading.value);
  if (status.success) return { kind: 'status', url, status: status.data };
  return { kind: 'problem', url, detail: 'its answer is not a status; check its version' };
}

/** Says who lacks a generation; nobody when it is in force everywhere. */
export function laggardsOf(readings: readonly StatusReading[], generation: number): string[] {
  return readings.flatMap((reading) => {
    if (reading.kind === 'problem') return [reading.url];
    const { identity, links, generation: inForce } = reading.status;
    const peers = links
      .filter((link) => link.health !== 'ready' || link.peerSet.generation < generation)
      .map((link) => `${link.host} (seen by ${identity.host})`);
    return inForce < generation ? [identity.host, ...peers] : peers;
  });
}

/** Writes readings as a table. */
export function formatStatuses(readings: readonly StatusReading[]): string {
  const lines = readings.map((reading) => {
    if (reading.kind === 'problem') return `${reading.url}  ${reading.detail}`;
    const { identity, generation, digest, leaving, links } = reading.status;
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
