import { Command } from 'clipanion';
import { runDemo } from '../programs/demo/runDemo.ts';

/** `hyssopspread demo`. */
export class DemoCommand extends Command {
  static override paths = [['demo']];

  static override usage = Command.Usage({
    description: 'Runs both sample deployments end to end on loopback.',
    examples: [['Run the demo', '$0 demo']],
  });

  async execute(): Promise<number> {
    await runDemo((text) => this.context.stdout.write(text));
    return 0;
  }
}
