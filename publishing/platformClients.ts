import { Agent, request } from 'undici';
import { z } from 'zod';
import { createHttpAgent } from '../http/mod.ts';
import type { Configuration, ConfigurationValue, HostList } from '../tasks/ports/mod.ts';

const NOT_FOUND_STATUS = 404;

const OK_STATUS = 200;

/** The largest value that is read, in bytes; the service stores values of up to one megabyte. */
const MAX_VALUE_BYTES = 1_100_000;

/** The largest host list that is read, in bytes. */
const MAX_LIST_BYTES = 16_000_000;

/** Time for which a watch waits for a new revision. */
const LONG_POLL_MS = 20_000;

const TIMEOUTS = { headersTimeout: 2 * LONG_POLL_MS, bodyTimeout: LONG_POLL_MS } as const;

/** A client that can be closed. */
export type Closeable = { readonly close: () => Promise<void> };

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
    throw new Error(`the configuration service responded with status ${response.statusCode}`);
  }
  return { text, revision: String(response.headers['x-revision'] ?? '') };
}

/**
 * Creates the HTTP client of the platform's configuration service.
 *
 * @param url Base URL, such as `http://10.0.0.9:8500`.
 */
export function createHttpConfiguration(url: string): Configuration & Closeable {
  const agent = createHttpAgent({ maxResponseBytes: MAX_VALUE_BYTES });
  return {
    read: (name) => readValue(agent, `${url}/v1/values/${name}`),
    watch: (name, revision) =>
      readValue(agent, `${url}/v1/values/${name}?after=${revision}&wait_ms=${LONG_POLL_MS}`),
    close: () => agent.destroy(),
  };
}

/**
 * Creates the HTTP client of the platform's host list.
 *
 * @param url Base URL, such as `http://10.0.0.9:8501`.
 */
export function createHttpHostList(url: string): HostList & Closeable {
  const agent = new Agent({ maxResponseSize: MAX_LIST_BYTES });
  return {
    read: async () => {
      const response = await request(`${url}/v1/hosts`, { dispatcher: agent });
      return hostsSchema.parse(await response.body.json());
    },
    close: () => agent.destroy(),
  };
}
