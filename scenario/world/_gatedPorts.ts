import type { Configuration, Engine, EngineEvent, PlainService } from '../../tasks/ports/mod.ts';
import type { Backend } from '../../tasks/sidecar/mod.ts';
import type { ProcessGate } from './processGate.ts';

/** Streams break off when the process is killed, as its connections do. */
function gateEngine(engine: Engine, gate: ProcessGate): Engine {
  return {
    readState: () => gate.hold(engine.readState()),
    order: (order) => gate.hold(engine.order(order)),
    stream: (call, onEvent) => {
      const deliver = (event: EngineEvent): void => gate.run(() => onEvent(event));
      const stop = engine.stream(call, deliver);
      const forget = gate.onKill(stop);
      return () => {
        forget();
        stop();
      };
    },
  };
}

function gateService(service: PlainService, gate: ProcessGate): PlainService {
  return { call: (body) => gate.hold(service.call(body)) };
}

/** Lets a process that is paused or dead see nothing of its backend server. */
export function gateBackend(backend: Backend, gate: ProcessGate): Backend {
  return backend.kind === 'engine'
    ? { kind: 'engine', engine: gateEngine(backend.engine, gate) }
    : { kind: 'service', service: gateService(backend.service, gate) };
}

/** Lets a process that is paused or dead see nothing of the configuration service. */
export function gateConfiguration(configuration: Configuration, gate: ProcessGate): Configuration {
  return {
    read: (name) => gate.hold(configuration.read(name)),
    watch: (name, revision) => gate.hold(configuration.watch(name, revision)),
  };
}
