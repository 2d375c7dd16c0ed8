import type { ServerResponse } from 'node:http';
import { respondJson } from '../http/mod.ts';
import type { SubmissionEvent } from '../tasks/entry/mod.ts';
import type { CompletionFormat } from './_completionBody.ts';
import { outcomeError, outcomeHeaders, outcomeStatus } from './outcomeStatus.ts';

type FinalSubmissionEvent = Extract<SubmissionEvent, { kind: 'final' }>;

type Choice = Readonly<Record<string, unknown>>;

/** The parts of the response body that differ between text and chat completions. */
type ResponseFormat = {
  readonly object: string;
  readonly chunkObject: string;
  readonly chunkChoice: (text: string) => Choice;
  readonly completeChoice: (text: string) => Choice;
};

const RESPONSE_FORMATS: Readonly<Record<CompletionFormat, ResponseFormat>> = {
  text: {
    object: 'text_completion',
    chunkObject: 'text_completion',
    chunkChoice: (text) => ({ text }),
    completeChoice: (text) => ({ text }),
  },
  chat: {
    object: 'chat.completion',
    chunkObject: 'chat.completion.chunk',
    chunkChoice: (text) => ({ delta: { role: 'assistant', content: text } }),
    completeChoice: (text) => ({ message: { role: 'assistant', content: text } }),
  },
};

/** Writes one completion's HTTP response, as a stream of server-sent events or as one JSON body. */
export class CompletionResponseWriter {
  readonly #response: ServerResponse;

  readonly #requestId: string;

  readonly #format: ResponseFormat;

  readonly #isStreaming: boolean;

  readonly #maxUnreadBytes: number;

  readonly #onSlowCaller: () => void;

  #servedBy = '';

  #host = '';

  #text = '';

  constructor(
    response: ServerResponse,
    options: {
      readonly name: string;
      readonly format: CompletionFormat;
      readonly stream: boolean;
      /** Bytes of a stream that may be buffered for a slow caller. */
      readonly maxUnreadBytes: number;
      readonly onSlowCaller: () => void;
    },
  ) {
    this.#response = response;
    this.#requestId = options.name;
    this.#format = RESPONSE_FORMATS[options.format];
    this.#isStreaming = options.stream;
    this.#maxUnreadBytes = options.maxUnreadBytes;
    this.#onSlowCaller = options.onSlowCaller;
  }

  /** Writes an event. */
  write(event: SubmissionEvent): void {
    if (this.#response.destroyed) return;
    switch (event.kind) {
      case 'started':
        this.#servedBy = event.servedBy;
        this.#host = event.host;
        if (this.#isStreaming) this.#response.writeHead(200, this.#streamHeaders());
        return;
      case 'chunk':
        if (this.#isStreaming) this.#writeChunk(event.text);
        else this.#text += event.text;
        return;
      default:
        if (this.#response.headersSent) this.#endStream(event);
        else this.#writeResponse(event);
    }
  }

  #identityHeaders(): Readonly<Record<string, string>> {
    return {
      'X-Request-Id': this.#requestId,
      ...(this.#servedBy === '' ? {} : { 'Hyssopspread-Served-By': this.#servedBy }),
      ...(this.#host === '' ? {} : { 'Hyssopspread-Host': this.#host }),
    };
  }

  #streamHeaders(): Readonly<Record<string, string>> {
    return {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-cache',
      ...this.#identityHeaders(),
    };
  }

  #writeEvent(value: unknown): void {
    this.#response.write(`data: ${JSON.stringify(value)}\n\n`);
    if (this.#response.writableLength > this.#maxUnreadBytes) this.#onSlowCaller();
  }

  #writeChunk(text: string): void {
    const choice = { index: 0, ...this.#format.chunkChoice(text), finish_reason: null };
    this.#writeEvent({
      id: this.#requestId,
      object: this.#format.chunkObject,
      model: this.#servedBy,
      choices: [choice],
    });
  }

  #endStream(event: FinalSubmissionEvent): void {
    const { outcome, tokens, digest, generation } = event;
    if (outcome.kind === 'done') {
      const choice = { index: 0, ...this.#format.chunkChoice(''), finish_reason: 'stop' };
      this.#writeEvent({
        id: this.#requestId,
        object: this.#format.chunkObject,
        model: this.#servedBy,
        choices: [choice],
        usage: { completion_tokens: tokens },
        hyssopspread: { outcome: outcome.kind, tokens, digest, generation },
      });
      this.#response.write('data: [DONE]\n\n');
    } else {
      this.#writeEvent(outcomeError(outcome));
    }
    this.#response.end();
  }

  #writeResponse(event: FinalSubmissionEvent): void {
    const { outcome, tokens, digest, generation } = event;
    const headers = { ...outcomeHeaders(outcome), ...this.#identityHeaders() };
    const status = outcomeStatus(outcome);
    if (outcome.kind !== 'done') {
      respondJson(this.#response, status, outcomeError(outcome), headers);
      return;
    }
    const choice = { index: 0, ...this.#format.completeChoice(this.#text), finish_reason: 'stop' };
    const completion = {
      id: this.#requestId,
      object: this.#format.object,
      model: this.#servedBy,
      choices: [choice],
      usage: { completion_tokens: tokens },
      hyssopspread: { outcome: outcome.kind, tokens, digest, generation },
    };
    respondJson(this.#response, status, completion, headers);
  }
}
