/**
 * Life of a daemon: settings, start, announcement, signals, graceful stop.
 */
import { parseArgs } from "node:util";
import type { z } from "zod";
import { describeThrown, formatFailure } from "./errors.js";
import type { Logger } from "./log.js";
import { createLogger } from "./log.js";
import { loadSettings } from "./settings.js";

/** Exit code for bad arguments and settings. */
export const EXIT_BAD_INPUT = 2;

const EXIT_FAILED_START = 1;
const EXIT_STOP_CUT_SHORT = 3;

/** Origins at which a daemon listens, printed as one JSON line when it does. */
export type Announcement = Record<string, string>;

/** A daemon that runs. */
export interface RunningDaemon {
    readonly announcement: Announcement;
    /** Stops gracefully; resolves when nothing is left to do. */
    stop(): Promise<void>;
}

/** How a daemon is started. */
export interface DaemonOptions<Schema extends z.ZodType> {
    readonly name: string;
    readonly schema: Schema;
    /** Longest time that a stop may take. */
    stopLimitMilliseconds(settings: z.output<Schema>): number;
    start(settings: z.output<Schema>, logger: Logger): Promise<RunningDaemon>;
}

/** Runs a daemon as this process: `NAME --settings FILE`. */
export async function runDaemon<Schema extends z.ZodType>(options: DaemonOptions<Schema>): Promise<void> {
    const file = readArguments(options.name);
    if (file === undefined) {
        process.exitCode = EXIT_BAD_INPUT;
        return;
    }
    const settings = await loadSettings(file, options.schema);
    if (settings.isErr) {
        process.stderr.write(settings.error.map(failure => `${formatFailure(failure)}\n`).join(""));
        process.exitCode = EXIT_BAD_INPUT;
        return;
    }
    const logger = createLogger(options.name);
    try {
        const daemon = await options.start(settings.value, logger);
        stopOnSignals(daemon, options.stopLimitMilliseconds(settings.value), logger);
        process.stdout.write(`${JSON.stringify({ event: "listening", ...daemon.announcement })}\n`);
    }
    catch (thrown) {
        logger.error("start failed", { message: describeThrown(thrown) });
        process.exit(EXIT_FAILED_START);
    }
}

function readArguments(name: string): string | undefined {
    const usage = `usage: ${name} --settings FILE\n`;
    try {
        const { values } = parseArgs({ options: { settings: { type: "string" }, help: { type: "boolean" } } });
        if (values.help === true) {
            process.stdout.write(usage);
            process.exit(0);
        }
        if (values.settings === undefined) {
            process.stderr.write(`${name}: --settings is required\n${usage}`);
        }
        return values.settings;
    }
    catch (thrown) {
        process.stderr.write(`${name}: ${describeThrown(thrown)}\n${usage}`);
        return undefined;
    }
}

function stopOnSignals(daemon: RunningDaemon, limitMilliseconds: number, logger: Logger): void {
    let stopping = false;
    const stop = (signal: NodeJS.Signals): void => {
        if (stopping) {
            logger.warn("stop cut short", { signal });
            process.exit(EXIT_STOP_CUT_SHORT);
        }
        stopping = true;
        logger.info("stopping", { signal });
        setTimeout(() => {
            logger.warn("stop cut short", { limitMilliseconds });
            process.exit(EXIT_STOP_CUT_SHORT);
        }, limitMilliseconds).unref();
        void daemon.stop().then(() => {
            logger.info("stopped");
            process.exit(0);
        });
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}
