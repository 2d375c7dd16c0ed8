import { Agent, request } from 'undici';
import { z } from 'zod';
import type { Configuration, ConfigurationValue, HostList } from '../tasks/ports/mod.ts';

const NOT_FOUND_STATUS = 404;

const OK_STATUS = 200;

/** The longest value that is read, in bytes; the service holds values up to a megabyte. */
const MAX_VALUE_BYTES = 1_100_000;

/** The longest list of hosts that is read, in bytes. */
const MAX_LIST_BYTES = 16_000_000;

const WATCH_MS = 20_000;

const TIMEOUTS = { headersTimeout: 2 * WATCH_MS, bodyTimeout: WATCH_MS } as const;

/** A client that can be closed. */
export type Closable = { readonly close: () => Promise<void> };

const hostsSchema = z.array(
  z.object({
    host: z.string(),
    role: z.enum(['entry', 'sidecar']),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(['live', 'leaving']),
  }),
);

async function readValue(agent: Agent, url: string): Promise<ConfigurationValue | undefined> {
  const response = await request(url, { dispatcher: agent, ...TIMEOUTS });
  const text = await response.body.text();
  if (response.statusCode === NOT_FOUND_STATUS) return undefined;
  if (response.statusCode !== OK_STATUS) {
    throw new Error(`the configuration service answered with status ${response.statusCode}`);
  }
  return { text, revision: String(response.headers['x-revision'] ?? '') };
}

/**
 * Creates the HTTP client of the platform's configuration service.
 *
 * @param url Such as `http://10.0.0.9:8500`.
 */
export function createHttpConfiguration(url: string): Configuration & Closable {
  const agent = new Agent({ maxResponseSize: MAX_VALUE_BYTES });
  return {
    read: (name) => readValue(agent, `${url}/v1/values/${name}`),
    watch: (name, revision) =>
      readValue(agent, `${url}/v1/values/${name}?after=${revision}&wait_ms=${WATCH_MS}`),
    close: () => agent.destroy(),
  };
}

/**
 * Creates the HTTP client of the platform's list of hosts.
 *
 * @param url Such as `http://10.0.0.9:8501`.
 */
export function createHttpHostList(url: string): HostList & Closable {
  const agent = new Agent({ maxResponseSize: MAX_LIST_BYTES });
  return {
    read: async () => {
      const response = await request(`${url}/v1/hosts`, { dispatcher: agent });
      return hostsSchema.parse(await response.body.json());
    },
    close: () => agent.destroy(),
  };
}
