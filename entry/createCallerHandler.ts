import type { IncomingMessage, ServerResponse } from 'node:http';
import { nanoid } from 'nanoid';
import polka from 'polka';
import type { Milliseconds } from '../core/clock/mod.ts';
import { notRun } from '../core/outcome/mod.ts';
import type { NotRun } from '../core/outcome/mod.ts';
import { sha256 } from '../core/set/mod.ts';
import { readBody, respondJson } from '../http/mod.ts';
import type { HttpHandler } from '../http/mod.ts';
import type { Log } from '../log/mod.ts';
import { UNKNOWN_TOKEN } from '../tasks/entry/mod.ts';
import type { CallerRequest, EntryTask, SubmissionEvent } from '../tasks/entry/mod.ts';
import { AnswerWriter } from './_answerWriter.ts';
import { readCompletionBody } from './_completionBody.ts';
import type { CompletionForm } from './_completionBody.ts';
import { outcomeError, outcomeHeaders, outcomeStatus } from './outcomeStatus.ts';

/** What the handler needs of an entry's task. */
export type RequestServer = Pick<EntryTask, 'submit' | 'abandon' | 'mayKnow' | 'modelsOf'>;

/** How to build the handler of callers' requests. */
export type CallerHandlerOptions = {
  readonly task: RequestServer;
  /** @default 1048576 */
  readonly maxBodyBytes?: number;
  /** @default 60000 */
  readonly timeoutMs?: Milliseconds;
  /** Bytes of a stream that may wait for a slow caller. @default 262144 */
  readonly maxUnreadBytes?: number;
  readonly log: Log;
};

type Reply = {
  readonly name: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
};

const MEBIBYTE = 1024 * 1024;

const BEARER = /^Bearer ([\x21-\x7e]+)$/;

const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

function tokenOf(request: IncomingMessage): string {
  const token = BEARER.exec(request.headers.authorization ?? '')?.[1];
  return token === undefined ? '' : sha256(token);
}

function refuse(response: ServerResponse, name: string, outcome: NotRun): void {
  const headers = { ...outcomeHeaders(outcome), 'X-Request-Id': name };
  respondJson(response, outcomeStatus(outcome), outcomeError(outcome), headers);
}

/** Handles callers' HTTP requests by an entry's task. */
class CallerHandler {
  readonly #task: RequestServer;

  readonly #maxBodyBytes: number;

  readonly #timeoutMs: Milliseconds;

  readonly #maxUnreadBytes: number;

  readonly #log: Log;

  constructor(options: CallerHandlerOptions) {
    this.#task = options.task;
    this.#maxBodyBytes = options.maxBodyBytes ?? MEBIBYTE;
    this.#timeoutMs = options.timeoutMs ?? 60_000;
    this.#maxUnreadBytes = options.maxUnreadBytes ?? MEBIBYTE / 4;
    this.#log = options.log;
  }

  async complete(form: CompletionForm, reply: Reply): Promise<void> {
    const text = await this.#readText(reply);
    if (text === undefined) return;
    const reading = readCompletionBody(form, text);
    if (reading.kind === 'wrong') {
      refuse(reply.response, reply.name, notRun('bad-request', reading.detail));
      return;
    }
    const { request, stream } = reading.body;
    const { name, response } = reply;
    const writer = new AnswerWriter(response, {
      name,
      form,
      stream,
      maxUnreadBytes: this.#maxUnreadBytes,
      onSlowCaller: () => {
        this.#log('callerTooSlow', { request: name, unreadBytes: response.writableLength });
        response.destroy();
      },
    });
    this.#submit(reply, request, (event) => writer.write(event));
  }

  async call(service: string, reply: Reply): Promise<void> {
    const body = await this.#readText(reply);
    if (body === undefined) return;
    const key = reply.request.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof key !== 'string') {
      const remedy = `get one by POST /v1/services/${service}/keys`;
      const outcome = notRun('bad-request', `the Idempotency-Key header is missing; ${remedy}`);
      refuse(reply.response, reply.name, outcome);
      return;
    }
    this.ask({ kind: 'service-call', service, key, body }, reply);
  }

  ask(request: CallerRequest, reply: Reply): void {
    this.#submit(reply, request, (event) => {
      if (event.kind !== 'final') return;
      const { outcome, body, generation } = event;
      const headers = { ...outcomeHeaders(outcome), 'X-Request-Id': reply.name };
      const error = outcome.kind === 'done' ? {} : outcomeError(outcome);
      const answer =
        request.kind === 'mint-key' && outcome.kind === 'done' ? { key: body } : { answer: body };
      respondJson(
        reply.response,
        outcomeStatus(outcome),
        { outcome: outcome.kind, generation, ...answer, ...error },
        headers,
      );
    });
  }

  models(reply: Reply): void {
    const names = this.#task.modelsOf(tokenOf(reply.request));
    const data = names.map((id) => ({ id, object: 'model' }));
    respondJson(reply.response, 200, { object: 'list', data });
  }

  /** Reads a body; that of a caller without a token is not even read. */
  async #readText(reply: Reply): Promise<string | undefined> {
    if (!this.#task.mayKnow(tokenOf(reply.request))) {
      reply.request.resume();
      reply.response.setHeader('Connection', 'close');
      refuse(reply.response, reply.name, UNKNOWN_TOKEN);
      return undefined;
    }
    const reading = await readBody(reply.request, this.#maxBodyBytes);
    if (reading.kind === 'body') return reading.text;
    const { response, name } = reply;
    if (reading.kind === 'too-large') {
      const outcome = notRun(
        'too-large',
        `the body is over ${reading.limitBytes} bytes; shorten it`,
      );
      response.setHeader('Connection', 'close');
      refuse(response, name, outcome);
    }
    if (reading.kind === 'not-utf8') {
      refuse(response, name, notRun('bad-request', 'the body is not UTF-8; send UTF-8'));
    }
    return undefined;
  }

  #submit(reply: Reply, request: CallerRequest, onEvent: (event: SubmissionEvent) => void): void {
    const { name, response } = reply;
    response.on('close', () => {
      if (!response.writableEnded) this.#task.abandon(name);
    });
    const tokenSha256 = tokenOf(reply.request);
    this.#task.submit({ name, tokenSha256, request, timeoutMs: this.#timeoutMs, onEvent });
  }
}

/** The methods of each path that the entry serves. */
const METHODS: readonly { readonly path: RegExp; readonly allowed: string }[] = [
  { path: /^\/v1\/(chat\/)?completions$/, allowed: 'POST' },
  { path: /^\/v1\/models$/, allowed: 'GET' },
  { path: /^\/v1\/services\/[^/]+\/[^/]+\/(keys|calls)$/, allowed: 'POST' },
  { path: /^\/v1\/services\/[^/]+\/[^/]+\/keys\/[^/]+$/, allowed: 'DELETE' },
  { path: /^\/v1\/services\/[^/]+\/[^/]+\/calls\/[^/]+$/, allowed: 'GET' },
];

function answerNoMatch(request: IncomingMessage, response: ServerResponse): void {
  const path = (request.url ?? '').split('?')[0] ?? '';
  const method = METHODS.find((each) => each.path.test(path))?.allowed;
  const name = nanoid();
  if (method === undefined) {
    refuse(response, name, notRun('not-found', `there is no ${path}; see docs/API.md`));
    return;
  }
  response.setHeader('Allow', method);
  const outcome = notRun('bad-request', `${path} takes ${method}, not ${request.method}`);
  const headers = { ...outcomeHeaders(outcome), 'X-Request-Id': name };
  respondJson(response, 405, outcomeError(outcome), headers);
}

/**
 * Creates the HTTP handler for callers.
 *
 * @param options The entry's task and limits.
 */
export function createCallerHandler(options: CallerHandlerOptions): HttpHandler {
  const handler = new CallerHandler(options);
  const reply = (request: IncomingMessage, response: ServerResponse): Reply => ({
    name: nanoid(),
    request,
    response,
  });
  const app = polka({ onNoMatch: answerNoMatch });
  app.post('/v1/completions', (request, response) => {
    handler.complete('text', reply(request, response)).catch(() => response.destroy());
  });
  app.post('/v1/chat/completions', (request, response) => {
    handler.complete('chat', reply(request, response)).catch(() => response.destroy());
  });
  app.get('/v1/models', (request, response) => handler.models(reply(request, response)));
  app.post('/v1/services/:tenant/:service/keys', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    handler.ask({ kind: 'mint-key', service }, reply(request, response));
  });
  app.delete('/v1/services/:tenant/:service/keys/:key', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    const key = String(request.params.key);
    handler.ask({ kind: 'revoke-key', service, key }, reply(request, response));
  });
  app.post('/v1/services/:tenant/:service/calls', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    handler.call(service, reply(request, response)).catch(() => response.destroy());
  });
  app.get('/v1/services/:tenant/:service/calls/:key', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    const key = String(request.params.key);
    handler.ask({ kind: 'lookup-key', service, key }, reply(request, response));
  });
  return (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  };
}
