import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { z } from 'zod';
import { readBurnSnapshots } from '../../admin/mod.ts';
import { formatBurnReport, reportBurn } from '../../core/burn/mod.ts';
import { ServerSentEventParser } from '../../http/mod.ts';
import { createLog } from '../../log/mod.ts';
import { DEMO_TOKEN, DEMO_VERSIONS, DEMO_DEPLOYMENTS } from './_deployments.ts';
import type { DemoDeployment } from './_deployments.ts';
import { DEMO_GENERATION, startDeployment } from './_startDeployment.ts';
import type { RunningDeployment } from './_startDeployment.ts';

/** Writes a part of the demo's output. */
export type Print = (text: string) => void;

const HEADERS = { authorization: `Bearer ${DEMO_TOKEN}`, 'content-type': 'application/json' };

const READINESS_POLL_MS = 25;

const BACKEND_SERVER_COUNT = 4;

const MAX_ANSWER_TOKENS = 12;

const chunkSchema = z.object({
  choices: z.array(z.object({ text: z.string() })).default([]),
  hyssopspread: z.object({ outcome: z.string(), tokens: z.number() }).optional(),
});

const keySchema = z.object({ key: z.string() });

function isReady(deployment: RunningDeployment): boolean {
  return deployment.entries.every((entry) => {
    const { generation, links } = entry.status();
    const ready = links.filter(
      (link) => link.health === 'ready' && link.peerSet.generation === DEMO_GENERATION,
    );
    return generation === DEMO_GENERATION && ready.length === BACKEND_SERVER_COUNT;
  });
}

async function waitUntilReady(deployment: RunningDeployment): Promise<void> {
  while (!isReady(deployment)) await sleep(READINESS_POLL_MS);
}

async function printCompletion(
  url: string,
  model: string,
  prompt: string,
  print: Print,
): Promise<void> {
  const response = await request(`${url}/v1/completions`, {
    method: 'POST',
    headers: HEADERS,
    body: JSON.stringify({ model, prompt, max_tokens: MAX_ANSWER_TOKENS, stream: true }),
  });
  const served = String(response.headers['hyssopspread-served-by'] ?? 'nobody');
  const host = String(response.headers['hyssopspread-host'] ?? '-');
  print(`  ${model} <- ${served} on ${host}: `);
  const splitter = new ServerSentEventParser();
  for await (const bytes of response.body) {
    for (const data of splitter.push(bytes as Uint8Array)) {
      if (data === '[DONE]') continue;
      const chunk = chunkSchema.parse(JSON.parse(data));
      chunk.choices.forEach((choice) => print(choice.text));
      if (chunk.hyssopspread !== undefined) print(`[${chunk.hyssopspread.outcome}]`);
    }
  }
  print('\n');
}

async function printBooking(url: string, deployment: DemoDeployment, print: Print): Promise<void> {
  const service = `${url}/v1/services/${deployment.tenant}/${deployment.service}`;
  const minted = await request(`${service}/keys`, { method: 'POST', headers: HEADERS });
  const { key } = keySchema.parse(await minted.body.json());
  const send = async (): Promise<string> => {
    const response = await request(`${service}/calls`, {
      method: 'POST',
      headers: { ...HEADERS, 'idempotency-key': key },
      body: deployment.booking,
    });
    return response.body.text();
  };
  print(`  booking: ${await send()}\n`);
  print(`  the same booking asked again: ${await send()}\n`);
}

function printStatus(running: RunningDeployment, print: Print): void {
  for (const entry of running.entries) {
    const { identity, generation, links } = entry.status();
    print(`  ${identity.host}: generation ${generation}\n`);
    for (const { host, health, report } of links) {
      print(`    ${host}: ${health}, holds ${report.resident.join(' ') || 'nothing'}\n`);
    }
  }
}

async function printBurn(running: RunningDeployment, print: Print): Promise<void> {
  const urls = running.entries.map((entry) => `http://127.0.0.1:${entry.ports.admin}`);
  const { snapshots } = await readBurnSnapshots(urls);
  const lines = formatBurnReport(reportBurn(snapshots)).trimEnd().split('\n');
  lines.forEach((line) => print(`  ${line}\n`));
}

async function showDeployment(deployment: DemoDeployment, print: Print): Promise<void> {
  const log = createLog({ format: 'text', level: 'warn' });
  print(`\n${deployment.tenant}: starting on loopback\n`);
  const running = await startDeployment(deployment, log);
  await waitUntilReady(running);
  print(`  generation ${DEMO_GENERATION} is in force in every process\n`);
  const urls = running.entries.map((entry) => `http://127.0.0.1:${entry.ports.callers}`);
  let sent = 0;
  for (const adapter of deployment.adapters) {
    for (const version of DEMO_VERSIONS) {
      const model = `${deployment.tenant}/${adapter}@${version}`;
      await printCompletion(urls[sent % urls.length]!, model, deployment.prompt, print);
      sent += 1;
    }
  }
  await printBooking(urls[0]!, deployment, print);
  printStatus(running, print);
  await printBurn(running, print);
  await running.stop();
}

/**
 * Runs both demo deployments end to end in this process.
 *
 * @param print Writes the output.
 */
export async function runDemo(print: Print): Promise<void> {
  for (const deployment of DEMO_DEPLOYMENTS) await showDeployment(deployment, print);
}
