import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { OperatorScope } from '../core/set/mod.ts';
import { readBody, respondJson } from '../http/mod.ts';
import type { HttpHandler } from '../http/mod.ts';
import type { Log } from '../log/mod.ts';
import { authorize } from './_authorize.ts';
import { checkProposal } from './_checkProposal.ts';
import { paginate, parsePageQuery } from './_paging.ts';
import type { AdminSource } from './adminSource.ts';

/** Options of `createAdminHandler`. */
export type AdminHandlerOptions = {
  readonly source: AdminSource;
  readonly clock: Clock;
  readonly log: Log;
  /** The largest proposed set, in bytes. @default 1048576 */
  readonly maxBodyBytes?: number;
};

type HttpExchange = { readonly request: IncomingMessage; readonly response: ServerResponse };

const MEBIBYTE = 1024 * 1024;

/** Minimum interval between log events about refused requests. */
const REFUSAL_LOG_INTERVAL_MS: Milliseconds = 1000;

/** Proposed sets that are checked at the same time. */
const MAX_CONCURRENT_PROPOSALS = 2;

function respondError(
  response: ServerResponse,
  status: number,
  code: string,
  detail: string,
): void {
  respondJson(response, status, { error: { code, message: detail } });
}

function queryParameters(request: IncomingMessage): URLSearchParams {
  return new URL(request.url ?? '/', 'http://admin').searchParams;
}

class AdminHandler {
  readonly #options: AdminHandlerOptions;

  #proposalsInProgress = 0;

  #unloggedRefusals = 0;

  #refusalLoggedAt: Milliseconds | undefined;

  constructor(options: AdminHandlerOptions) {
    this.#options = options;
  }

  /** Runs a request if its operator has the scope; otherwise responds with 401 or 403. */
  runAuthorized(scope: OperatorScope, exchange: HttpExchange, run: () => void): void {
    const { request, response } = exchange;
    const verdict = authorize(request, scope, this.#options.source.set());
    if (verdict.kind === 'refused') {
      this.#logRefusal(verdict.detail);
      response.setHeader('WWW-Authenticate', 'Bearer');
      respondError(response, verdict.status, 'refused', verdict.detail);
      return;
    }
    run();
  }

  list(name: string, { request, response }: HttpExchange): void {
    const rows = this.#options.source.lists[name];
    if (rows === undefined) {
      respondError(response, 404, 'not-found', `this process has no list "${name}"`);
      return;
    }
    const query = parsePageQuery(queryParameters(request));
    respondJson(response, 200, paginate(rows(query.after), query));
  }

  explain({ request, response }: HttpExchange): void {
    const { explain } = this.#options.source;
    const query = queryParameters(request);
    const model = query.get('model') ?? '';
    if (explain === undefined || model === '') {
      const detail = 'send the request to an entry, with ?model=tenant/adapter@version';
      respondError(response, 400, 'bad-request', detail);
      return;
    }
    const tenant = query.get('tenant') ?? model.slice(0, Math.max(0, model.indexOf('/')));
    respondJson(response, 200, explain(model, tenant));
  }

  async check({ request, response }: HttpExchange): Promise<void> {
    if (!this.#options.source.holdsWholeSet) {
      request.resume();
      respondError(
        response,
        404,
        'not-found',
        'a sidecar holds only a part of the set; send the request to an entry',
      );
      return;
    }
    if (this.#proposalsInProgress >= MAX_CONCURRENT_PROPOSALS) {
      request.resume();
      respondError(
        response,
        503,
        'overloaded',
        'other proposed sets are being checked; retry the request',
      );
      return;
    }
    this.#proposalsInProgress += 1;
    try {
      await this.#readProposal({ request, response });
    } finally {
      this.#proposalsInProgress -= 1;
    }
  }

  async #readProposal({ request, response }: HttpExchange): Promise<void> {
    const { maxBodyBytes = MEBIBYTE, source } = this.#options;
    const result = await readBody(request, maxBodyBytes);
    if (result.kind === 'body') {
      const { status, body } = checkProposal(result.text, source.set());
      respondJson(response, status, body);
      return;
    }
    response.setHeader('Connection', 'close');
    const detail = `the body must be UTF-8 of at most ${maxBodyBytes} bytes; use "set check"`;
    respondError(response, 413, result.kind, detail);
  }

  #logRefusal(detail: string): void {
    this.#unloggedRefusals += 1;
    const now = this.#options.clock.now();
    const last = this.#refusalLoggedAt;
    if (last !== undefined && now - last < REFUSAL_LOG_INTERVAL_MS) return;
    this.#refusalLoggedAt = now;
    this.#options.log('adminRefused', { detail, count: this.#unloggedRefusals });
    this.#unloggedRefusals = 0;
  }
}

function respondNoMatch(request: IncomingMessage, response: ServerResponse): void {
  const path = (request.url ?? '').split('?')[0] ?? '';
  if (request.method === 'GET' || path === '/admin/v1/check') {
    respondError(response, 404, 'not-found', `there is no ${path}; see docs/design/admin.md`);
    return;
  }
  response.setHeader('Allow', 'GET');
  respondError(
    response,
    405,
    'read-only',
    'the administration API is read-only; publish a set to make a change',
  );
}

/**
 * Creates the HTTP handler of the administration API, which is read-only.
 *
 * @param options The data source, the clock and the log.
 */
export function createAdminHandler(options: AdminHandlerOptions): HttpHandler {
  const handler = new AdminHandler(options);
  const { source } = options;
  const app = polka({ onNoMatch: respondNoMatch });
  app.get('/admin/v1/status', (request, response) => {
    handler.runAuthorized('read', { request, response }, () =>
      respondJson(response, 200, source.status()),
    );
  });
  app.get('/admin/v1/burn', (request, response) => {
    handler.runAuthorized('read', { request, response }, () =>
      respondJson(response, 200, source.burn()),
    );
  });
  app.get('/admin/v1/explain', (request, response) => {
    handler.runAuthorized('read', { request, response }, () =>
      handler.explain({ request, response }),
    );
  });
  app.get('/admin/v1/:list', (request, response) => {
    const name = String(request.params.list);
    handler.runAuthorized('read', { request, response }, () =>
      handler.list(name, { request, response }),
    );
  });
  app.post('/admin/v1/check', (request, response) => {
    handler.runAuthorized('check', { request, response }, () => {
      handler.check({ request, response }).catch(() => response.destroy());
    });
  });
  return (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  };
}
