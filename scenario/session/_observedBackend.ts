import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { EngineModel, ServiceModel } from '../../standins/mod.ts';
import type { Engine, EngineOrder, OrderReply, PlainService } from '../../tasks/ports/mod.ts';
import type { Observer } from '../observer/mod.ts';

/** Faults of the next orders to one engine. */
export type OrderFaults = {
  /** Orders whose replies are lost. */
  lost: number;
  /** Time after which a lost order is carried out all the same. */
  lateMs: Milliseconds;
};

/** Told of what engines and services do, for the journal. */
export type Note = (text: string) => void;

/** How to observe a backend server. */
export type BackendWatch = {
  readonly host: string;
  readonly clock: Clock;
  readonly observer: Observer;
  readonly note: Note;
};

/** Time after which a sender takes an order's reply for lost. */
const REPLY_TIMEOUT_MS = 100;

function after(clock: Clock, time: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(time, resolve);
  });
}

/** Returns an engine that tells the observer of its streams and orders and can lose replies. */
export function observeEngine(
  model: EngineModel,
  faults: OrderFaults,
  watch: BackendWatch,
): Engine {
  const { clock, host, note, observer } = watch;
  async function obey(order: EngineOrder): Promise<OrderReply> {
    const first = model.orders.length;
    const reply = await model.order(order);
    const record = model.orders.slice(first).find((each) => each.order === order) ?? {
      order,
      reply: reply.kind,
      inUse: 0,
    };
    observer.ordered(host, record);
    const { kind, adapterVersion, fencingNumber } = order;
    note(`${host} order ${kind} ${adapterVersion} fence=${fencingNumber} ${reply.kind}`);
    return reply;
  }
  async function lose(order: EngineOrder): Promise<OrderReply> {
    faults.lost -= 1;
    clock.schedule(faults.lateMs, () => {
      obey(order).catch(() => undefined);
    });
    await after(clock, REPLY_TIMEOUT_MS);
    return { kind: 'lost', detail: 'the reply was lost' };
  }
  return {
    readState: () => model.readState(),
    order: (order) => (faults.lost > 0 ? lose(order) : obey(order)),
    stream: (call, onEvent) => {
      let refused = false;
      const stop = model.stream(call, (event) => {
        refused ||= event.kind === 'refused';
        onEvent(event);
      });
      if (!refused) observer.ran(host, call.prompt);
      return stop;
    },
  };
}

/** Returns a service that tells the observer of its effects. */
export function observeService(model: ServiceModel, watch: BackendWatch): PlainService {
  const { host, note, observer } = watch;
  return {
    call: async (body) => {
      const reply = await model.call(body);
      observer.tookEffect(host, body);
      note(`${host} effect ${body} ${reply.kind}`);
      return reply;
    },
  };
}
