import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import { z } from 'zod';
import type { ListedHost } from '../core/membership/mod.ts';
import { listenHttp, readBody, respondJson, respondText } from '../http/mod.ts';
import type { HttpAddress, HttpListener } from '../http/mod.ts';
import type { SimulatedConfiguration } from './simulatedConfiguration.ts';

const MAX_VALUE_BYTES = 1_000_000;

const VALUES_PATH = '/v1/values/';

async function readValue(
  configuration: SimulatedConfiguration,
  url: URL,
  response: ServerResponse,
): Promise<void> {
  const name = url.pathname.slice(VALUES_PATH.length);
  const lastRevision = url.searchParams.get('after');
  const value = await (lastRevision === null
    ? configuration.read(name)
    : configuration.watch(name, lastRevision));
  if (value === undefined) respondText(response, 404, '');
  else respondText(response, 200, value.text, { 'X-Revision': value.revision });
}

async function putValue(
  configuration: SimulatedConfiguration,
  url: URL,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const result = await readBody(request, MAX_VALUE_BYTES);
  if (result.kind !== 'body') {
    respondText(response, 413, 'a value is at most a megabyte of UTF-8');
    return;
  }
  configuration.put(url.pathname.slice(VALUES_PATH.length), result.text);
  respondText(response, 200, '');
}

const hostsSchema = z.array(
  z.object({
    host: z.string(),
    role: z.enum(['entry', 'sidecar']),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(['live', 'leaving']),
  }),
);

async function putHosts(
  list: MutableHostList,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const result = await readBody(request, MAX_VALUE_BYTES);
  if (result.kind !== 'body') {
    respondText(response, 413, 'the list is at most a megabyte of UTF-8');
    return;
  }
  list.hosts = hostsSchema.parse(JSON.parse(result.text));
  respondText(response, 200, '');
}

/** The platform's list of hosts. */
export type MutableHostList = { hosts: readonly ListedHost[] };

/**
 * Serves a stand-in configuration service and host list over HTTP.
 *
 * @param configuration The values to serve.
 * @param list The list of hosts to serve; PUT requests replace its hosts.
 * @param address Address to listen on.
 */
export function servePlatform(
  configuration: SimulatedConfiguration,
  list: MutableHostList,
  address: HttpAddress,
): Promise<HttpListener> {
  const app = polka();
  const catchErrors = (work: Promise<void>, response: ServerResponse): void => {
    work.catch((error: unknown) => respondText(response, 503, String(error)));
  };
  const parseUrl = (request: IncomingMessage): URL =>
    new URL(request.url ?? '/', 'http://platform');
  app.get(`${VALUES_PATH}*`, (request, response) =>
    catchErrors(readValue(configuration, parseUrl(request), response), response),
  );
  app.put(`${VALUES_PATH}*`, (request, response) =>
    catchErrors(putValue(configuration, parseUrl(request), request, response), response),
  );
  app.put('/v1/hosts', (request, response) =>
    catchErrors(putHosts(list, request, response), response),
  );
  app.get('/v1/hosts', (_request, response) => respondJson(response, 200, list.hosts));
  return listenHttp(address, (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  });
}
