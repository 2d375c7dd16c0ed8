import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { OperatorScope } from '../core/set/mod.ts';
import { readBody, respondJson } from '../http/mod.ts';
import type { HttpHandler } from '../http/mod.ts';
import type { Log } from '../log/mod.ts';
import { authorize } from './_authorize.ts';
import { checkProposal } from './_checkProposal.ts';
import { readPageQuery, takePage } from './_paging.ts';
import type { AdminSource } from './adminSource.ts';

/** How to build the handler of the administration API. */
export type AdminHandlerOptions = {
  readonly source: AdminSource;
  readonly clock: Clock;
  readonly log: Log;
  /** The largest proposed set, in bytes. @default 1048576 */
  readonly maxBodyBytes?: number;
};

type Exchange = { readonly request: IncomingMessage; readonly response: ServerResponse };

const MEBIBYTE = 1024 * 1024;

/** Time between two log events about refusals. */
const REFUSAL_LOG_MS: Milliseconds = 1000;

/** Proposed sets that are read at the same time. */
const MOST_PROPOSALS = 2;

function answerError(response: ServerResponse, status: number, code: string, detail: string): void {
  respondJson(response, status, { error: { code, message: detail } });
}

function queryOf(request: IncomingMessage): URLSearchParams {
  return new URL(request.url ?? '/', 'http://admin').searchParams;
}

class AdminHandler {
  readonly #options: AdminHandlerOptions;

  #proposals = 0;

  #refusals = 0;

  #refusalLoggedAt: Milliseconds | undefined;

  constructor(options: AdminHandlerOptions) {
    this.#options = options;
  }

  /** Runs a read for those who may; an error in it answers 500. */
  allow(scope: OperatorScope, exchange: Exchange, run: () => void): void {
    const { request, response } = exchange;
    const verdict = authorize(request, scope, this.#options.source.set());
    if (verdict.kind === 'refused') {
      this.#logRefusal(verdict.detail);
      response.setHeader('WWW-Authenticate', 'Bearer');
      answerError(response, verdict.status, 'refused', verdict.detail);
      return;
    }
    run();
  }

  list(name: string, { request, response }: Exchange): void {
    const rows = this.#options.source.lists[name];
    if (rows === undefined) {
      answerError(response, 404, 'not-found', `this process has no list "${name}"`);
      return;
    }
    const query = readPageQuery(queryOf(request));
    respondJson(response, 200, takePage(rows(query.after), query));
  }

  explain({ request, response }: Exchange): void {
    const { explain } = this.#options.source;
    const query = queryOf(request);
    const model = query.get('model') ?? '';
    if (explain === undefined || model === '') {
      const detail = 'ask an entry, with ?model=tenant/adapter@version';
      answerError(response, 400, 'bad-request', detail);
      return;
    }
    const tenant = query.get('tenant') ?? model.slice(0, Math.max(0, model.indexOf('/')));
    respondJson(response, 200, explain(model, tenant));
  }

  async check({ request, response }: Exchange): Promise<void> {
    if (!this.#options.source.holdsWholeSet) {
      request.resume();
      answerError(response, 404, 'not-found', 'a sidecar holds a part of the set; ask an entry');
      return;
    }
    if (this.#proposals >= MOST_PROPOSALS) {
      request.resume();
      answerError(response, 503, 'overloaded', 'other proposed sets are being read; ask again');
      return;
    }
    this.#proposals += 1;
    try {
      await this.#readProposal({ request, response });
    } finally {
      this.#proposals -= 1;
    }
  }

  async #readProposal({ request, response }: Exchange): Promise<void> {
    const { maxBodyBytes = MEBIBYTE, source } = this.#options;
    const reading = await readBody(request, maxBodyBytes);
    if (reading.kind === 'body') {
      const { status, body } = checkProposal(reading.text, source.set());
      respondJson(response, status, body);
      return;
    }
    response.setHeader('Connection', 'close');
    const detail = `the body must be UTF-8 of at most ${maxBodyBytes} bytes; use "set check"`;
    answerError(response, 413, reading.kind, detail);
  }

  #logRefusal(detail: string): void {
    this.#refusals += 1;
    const now = this.#options.clock.now();
    const last = this.#refusalLoggedAt;
    if (last !== undefined && now - last < REFUSAL_LOG_MS) return;
    this.#refusalLoggedAt = now;
    this.#options.log('adminRefused', { detail, count: this.#refusals });
    this.#refusals = 0;
  }
}

function answerNoMatch(request: IncomingMessage, response: ServerResponse): void {
  const path = (request.url ?? '').split('?')[0] ?? '';
  if (request.method === 'GET' || path === '/admin/v1/check') {
    answerError(response, 404, 'not-found', `there is no ${path}; see docs/design/admin.md`);
    return;
  }
  response.setHeader('Allow', 'GET');
  answerError(response, 405, 'read-only', 'this address only reads; publish a set to change it');
}

/**
 * Creates the HTTP handler of the administration API, which changes nothing.
 *
 * @param options What it reads, the clock and the log.
 */
export function createAdminHandler(options: AdminHandlerOptions): HttpHandler {
  const handler = new AdminHandler(options);
  const { source } = options;
  const app = polka({ onNoMatch: answerNoMatch });
  app.get('/admin/v1/status', (request, response) => {
    handler.allow('read', { request, response }, () => respondJson(response, 200, source.status()));
  });
  app.get('/admin/v1/burn', (request, response) => {
    handler.allow('read', { request, response }, () => respondJson(response, 200, source.burn()));
  });
  app.get('/admin/v1/explain', (request, response) => {
    handler.allow('read', { request, response }, () => handler.explain({ request, response }));
  });
  app.get('/admin/v1/:list', (request, response) => {
    const name = String(request.params.list);
    handler.allow('read', { request, response }, () => handler.list(name, { request, response }));
  });
  app.post('/admin/v1/check', (request, response) => {
    handler.allow('check', { request, response }, () => {
      handler.check({ request, response }).catch(() => response.destroy());
    });
  });
  return (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  };
}
