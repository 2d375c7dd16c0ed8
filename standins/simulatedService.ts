import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import { listenHttp, readBody, respondJson } from '../http/mod.ts';
import type { HttpAddress, HttpListener } from '../http/mod.ts';
import type { PlainService, ServiceReply } from '../tasks/ports/mod.ts';

const MAX_BODY_BYTES = 1024 * 1024;

/** Simulates a plain service in which every call has a side effect, such as a booking. */
export class SimulatedService implements PlainService {
  readonly #clock: Clock;

  readonly #callMs: Milliseconds;

  /** Bodies of all calls that took effect, in order. */
  readonly effects: string[] = [];

  #repliesToLose = 0;

  constructor(clock: Clock, options: { readonly callMs?: Milliseconds } = {}) {
    this.#clock = clock;
    this.#callMs = options.callMs ?? 20;
  }

  /** Loses the replies of the next `count` calls, which still take effect. */
  loseReplies(count: number): void {
    this.#repliesToLose = count;
  }

  async call(body: string): Promise<ServiceReply> {
    await new Promise<void>((resolve) => {
      this.#clock.schedule(this.#callMs, resolve);
    });
    this.effects.push(body);
    if (this.#repliesToLose > 0) {
      this.#repliesToLose -= 1;
      return { kind: 'lost', detail: 'the reply was lost' };
    }
    const answer = { number: this.effects.length, request: body };
    return { kind: 'answered', status: 200, body: JSON.stringify(answer) };
  }
}

/**
 * Serves a stand-in plain service over HTTP.
 *
 * @param service The service to serve.
 * @param address Address to listen on.
 */
export function serveService(
  service: SimulatedService,
  address: HttpAddress,
): Promise<HttpListener> {
  return listenHttp(address, (request, response) => {
    readBody(request, MAX_BODY_BYTES)
      .then(async (result) => {
        if (result.kind !== 'body') {
          respondJson(response, 400, { error: result.kind });
          return;
        }
        const reply = await service.call(result.text);
        if (reply.kind !== 'answered') response.destroy();
        else respondJson(response, reply.status, JSON.parse(reply.body));
      })
      .catch(() => response.destroy());
  });
}
