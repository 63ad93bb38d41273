/**
 * What the bench's processes share: settings from the command line, the listening line.
 */
import { parseArgs } from "node:util";
import type { z } from "zod";
import { formatFailure } from "../../src/core/errors.js";
import { loadSettings } from "../../src/core/settings.js";

export const BENCH_ADDRESS = { host: "127.0.0.1", port: 0 };

/** Reads the settings that `--settings FILE` names; ends the process where they are not valid. */
export async function readSettings<Schema extends z.ZodType>(schema: Schema): Promise<z.output<Schema>> {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const settings = await loadSettings(values.settings ?? "", schema);
    if (settings.isErr) {
        console.error(settings.error.map(formatFailure).join("\n"));
        process.exit(2);
    }
    return settings.value;
}

/** Tells the parent process where this one listens. */
export function announce(origins: Readonly<Record<string, string>>): void {
    console.log(JSON.stringify({ event: "listening", ...origins }));
}
