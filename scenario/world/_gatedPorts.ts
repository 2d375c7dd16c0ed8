import type { Configuration, Engine, EngineEvent, PlainService } from '../../tasks/ports/mod.ts';
import type { Backend } from '../../tasks/sidecar/mod.ts';
import type { ProcessGate } from './processGate.ts';

/** Stops streams when the process is killed, as the kernel closes a dead process's connections. */
function gateEngine(engine: Engine, gate: ProcessGate): Engine {
  return {
    readState: () => gate.gatePromise(engine.readState()),
    order: (order) => gate.gatePromise(engine.order(order)),
    stream: (call, onEvent) => {
      const deliver = (event: EngineEvent): void => gate.run(() => onEvent(event));
      const stop = engine.stream(call, deliver);
      const unsubscribe = gate.onKill(stop);
      return () => {
        unsubscribe();
        stop();
      };
    },
  };
}

function gateService(service: PlainService, gate: ProcessGate): PlainService {
  return { call: (body) => gate.gatePromise(service.call(body)) };
}

/** Wraps a backend server so that a process gets nothing from it while paused or once killed. */
export function gateBackend(backend: Backend, gate: ProcessGate): Backend {
  return backend.kind === 'engine'
    ? { kind: 'engine', engine: gateEngine(backend.engine, gate) }
    : { kind: 'service', service: gateService(backend.service, gate) };
}

/** Wraps the configuration service so that a process gets nothing while paused or once killed. */
export function gateConfiguration(configuration: Configuration, gate: ProcessGate): Configuration {
  return {
    read: (name) => gate.gatePromise(configuration.read(name)),
    watch: (name, revision) => gate.gatePromise(configuration.watch(name, revision)),
  };
}
