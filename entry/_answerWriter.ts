import type { ServerResponse } from 'node:http';
import { respondJson } from '../http/mod.ts';
import type { SubmissionEvent } from '../tasks/entry/mod.ts';
import type { CompletionForm } from './_completionBody.ts';
import { outcomeError, outcomeHeaders, outcomeStatus } from './outcomeStatus.ts';

type Final = Extract<SubmissionEvent, { kind: 'final' }>;

type Choice = Readonly<Record<string, unknown>>;

type Form = {
  readonly object: string;
  readonly chunkObject: string;
  readonly chunk: (text: string) => Choice;
  readonly whole: (text: string) => Choice;
};

const FORMS: Readonly<Record<CompletionForm, Form>> = {
  text: {
    object: 'text_completion',
    chunkObject: 'text_completion',
    chunk: (text) => ({ text }),
    whole: (text) => ({ text }),
  },
  chat: {
    object: 'chat.completion',
    chunkObject: 'chat.completion.chunk',
    chunk: (text) => ({ delta: { role: 'assistant', content: text } }),
    whole: (text) => ({ message: { role: 'assistant', content: text } }),
  },
};

/** Writes one completion's events to its caller. */
export class AnswerWriter {
  readonly #response: ServerResponse;

  readonly #name: string;

  readonly #form: Form;

  readonly #stream: boolean;

  readonly #maxUnreadBytes: number;

  readonly #onSlowCaller: () => void;

  #servedBy = '';

  #host = '';

  #text = '';

  constructor(
    response: ServerResponse,
    options: {
      readonly name: string;
      readonly form: CompletionForm;
      readonly stream: boolean;
      /** Bytes that may wait for a slow caller. */
      readonly maxUnreadBytes: number;
      readonly onSlowCaller: () => void;
    },
  ) {
    this.#response = response;
    this.#name = options.name;
    this.#form = FORMS[options.form];
    this.#stream = options.stream;
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
        if (this.#stream) this.#response.writeHead(200, this.#streamHeaders());
        return;
      case 'chunk':
        if (this.#stream) this.#writeChunk(event.text);
        else this.#text += event.text;
        return;
      default:
        if (this.#response.headersSent) this.#endStream(event);
        else this.#answer(event);
    }
  }

  #identityHeaders(): Readonly<Record<string, string>> {
    return {
      'X-Request-Id': this.#name,
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

  #event(value: unknown): void {
    this.#response.write(`data: ${JSON.stringify(value)}\n\n`);
    if (this.#response.writableLength > this.#maxUnreadBytes) this.#onSlowCaller();
  }

  #writeChunk(text: string): void {
    const choice = { index: 0, ...this.#form.chunk(text), finish_reason: null };
    this.#event({
      id: this.#name,
      object: this.#form.chunkObject,
      model: this.#servedBy,
      choices: [choice],
    });
  }

  #endStream(event: Final): void {
    const { outcome, tokens, digest, generation } = event;
    if (outcome.kind === 'done') {
      const choice = { index: 0, ...this.#form.chunk(''), finish_reason: 'stop' };
      this.#event({
        id: this.#name,
        object: this.#form.chunkObject,
        model: this.#servedBy,
        choices: [choice],
        usage: { completion_tokens: tokens },
        hyssopspread: { outcome: outcome.kind, tokens, digest, generation },
      });
      this.#response.write('data: [DONE]\n\n');
    } else {
      this.#event(outcomeError(outcome));
    }
    this.#response.end();
  }

  #answer(event: Final): void {
    const { outcome, tokens, digest, generation } = event;
    const headers = { ...outcomeHeaders(outcome), ...this.#identityHeaders() };
    const status = outcomeStatus(outcome);
    if (outcome.kind !== 'done') {
      respondJson(this.#response, status, outcomeError(outcome), headers);
      return;
    }
    const choice = { index: 0, ...this.#form.whole(this.#text), finish_reason: 'stop' };
    const answer = {
      id: this.#name,
      object: this.#form.object,
      model: this.#servedBy,
      choices: [choice],
      usage: { completion_tokens: tokens },
      hyssopspread: { outcome: outcome.kind, tokens, digest, generation },
    };
    respondJson(this.#response, status, answer, headers);
  }
}
