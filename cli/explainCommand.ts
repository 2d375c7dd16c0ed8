import { Command, Option } from 'clipanion';
import { z } from 'zod';
import { readAdmin } from '../admin/mod.ts';
import { operatorToken } from './_operatorToken.ts';

const explanationSchema = z.object({
  kind: z.string(),
  detail: z.string().optional(),
  adapterVersion: z.string().optional(),
  pool: z.string().optional(),
  generation: z.number().optional(),
  hidden: z.number().default(0),
  candidates: z
    .array(
      z.object({
        host: z.string(),
        health: z.string(),
        takesWork: z.boolean(),
        chosen: z.boolean(),
        terms: z.record(z.string(), z.unknown()),
      }),
    )
    .default([]),
});

type Explanation = z.output<typeof explanationSchema>;

function formatValue(value: unknown): string {
  return typeof value === 'number' ? String(Math.round(value * 1000) / 1000) : String(value);
}

function formatExplanation(explanation: Explanation): string {
  const { adapterVersion, candidates, generation, hidden, pool } = explanation;
  const lines = candidates.map(({ host, health, takesWork, chosen, terms }) => {
    const parts = Object.entries(terms).map(([name, value]) => `${name} ${formatValue(value)}`);
    const state = takesWork ? health : `${health}, takes no work`;
    return `${chosen ? '-> ' : '   '}${host} (${state}): ${parts.join(', ')}`;
  });
  const more = hidden > 0 ? [`   ${hidden} more are not shown`] : [];
  const head = `${adapterVersion} in pool ${pool}, generation ${generation}`;
  return `${[head, ...lines, ...more].join('\n')}\n`;
}

/** `hyssopspread explain adapter`. */
export class ExplainCommand extends Command {
  static override paths = [['explain', 'adapter']];

  static override usage = Command.Usage({
    description: "Shows which server an entry would choose for an adapter's next request, and why.",
    examples: [['Explain', '$0 explain adapter --url http://127.0.0.1:8081 ixchel/fincas@2']],
  });

  readonly url = Option.String('--url', { required: true });

  readonly tenant = Option.String('--tenant');

  readonly json = Option.Boolean('--json', false);

  readonly model = Option.String();

  async execute(): Promise<number> {
    const query = new URLSearchParams({ model: this.model });
    if (this.tenant !== undefined) query.set('tenant', this.tenant);
    const token = operatorToken();
    const result = await readAdmin(this.url, `/admin/v1/explain?${query.toString()}`, { token });
    if (result.kind !== 'answer') {
      this.context.stderr.write(`${this.url}: ${result.detail}\n`);
      return 1;
    }
    const explanation = explanationSchema.parse(result.value);
    if (explanation.kind !== 'placement') {
      this.context.stderr.write(`${explanation.detail ?? 'no set is in force yet; ask again'}\n`);
      return 1;
    }
    const text = this.json ? `${JSON.stringify(result.value)}\n` : formatExplanation(explanation);
    this.context.stdout.write(text);
    return 0;
  }
}
