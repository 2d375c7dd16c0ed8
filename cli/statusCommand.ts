import { Command, Option } from 'clipanion';
import { request } from 'undici';

/** `hyssopspread status`. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Prints what processes say of themselves.',
    examples: [['Ask two processes', '$0 status http://127.0.0.1:8081 http://127.0.0.1:8082']],
  });

  readonly urls = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const results = await Promise.all(this.urls.map((url) => this.#show(url)));
    return results.every(Boolean) ? 0 : 1;
  }

  async #show(url: string): Promise<boolean> {
    try {
      const response = await request(`${url}/admin/v1/status`);
      this.context.stdout.write(`${await response.body.text()}\n`);
      return true;
    } catch (error) {
      this.context.stderr.write(`${url} does not answer (${String(error)}); check its address\n`);
      return false;
    }
  }
}
