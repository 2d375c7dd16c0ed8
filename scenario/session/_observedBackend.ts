import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { SimulatedEngine, SimulatedService } from '../../standins/mod.ts';
import type { Engine, EngineOrder, OrderReply, PlainService } from '../../tasks/ports/mod.ts';
import type { Observer } from '../observer/mod.ts';

/** Faults to inject into the next orders to one engine. */
export type OrderFaults = {
  /** Number of next orders whose replies are lost. */
  lost: number;
  /** Time after which the engine carries out an order whose reply is lost. */
  executionDelayMs: Milliseconds;
};

/** Writes a line about a backend server to the journal. */
export type RecordLine = (text: string) => void;

/** Where the calls to a backend server are recorded. */
export type BackendObservation = {
  readonly host: string;
  readonly clock: Clock;
  readonly observer: Observer;
  readonly record: RecordLine;
};

/** Time after which the sender of an order reports its reply as lost. */
const REPLY_TIMEOUT_MS = 100;

function delay(clock: Clock, time: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(time, resolve);
  });
}

/** Wraps an engine so that its streams and orders are recorded and replies can be lost. */
export function observeEngine(
  model: SimulatedEngine,
  faults: OrderFaults,
  observation: BackendObservation,
): Engine {
  const { clock, host, record, observer } = observation;
  async function executeOrder(order: EngineOrder): Promise<OrderReply> {
    const previousOrderCount = model.orders.length;
    const reply = await model.order(order);
    const orderRecord = model.orders
      .slice(previousOrderCount)
      .find((each) => each.order === order) ?? {
      order,
      reply: reply.kind,
      inUse: 0,
    };
    observer.recordOrder(host, orderRecord);
    const { kind, adapterVersion, fencingNumber } = order;
    record(`${host} order ${kind} ${adapterVersion} fence=${fencingNumber} ${reply.kind}`);
    return reply;
  }
  async function loseReply(order: EngineOrder): Promise<OrderReply> {
    faults.lost -= 1;
    clock.schedule(faults.executionDelayMs, () => {
      executeOrder(order).catch(() => undefined);
    });
    await delay(clock, REPLY_TIMEOUT_MS);
    return { kind: 'lost', detail: 'the reply was lost' };
  }
  return {
    readState: () => model.readState(),
    order: (order) => (faults.lost > 0 ? loseReply(order) : executeOrder(order)),
    stream: (call, onEvent) => {
      let refused = false;
      const stop = model.stream(call, (event) => {
        refused ||= event.kind === 'refused';
        onEvent(event);
      });
      if (!refused) observer.recordAcceptance(host, call.prompt);
      return stop;
    },
  };
}

/** Wraps a service so that its effects are recorded. */
export function observeService(
  model: SimulatedService,
  observation: BackendObservation,
): PlainService {
  const { host, record, observer } = observation;
  return {
    call: async (body) => {
      const reply = await model.call(body);
      observer.recordEffect(host, body);
      record(`${host} effect ${body} ${reply.kind}`);
      return reply;
    },
  };
}
