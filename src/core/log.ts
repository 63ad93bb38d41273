/**
 * Structured logs: one JSON line per event on standard error, through `debug`.
 *
 * `DEBUG` selects namespaces as usual (`flamingowell:*`); without it, events of level `info` and above are printed.
 */
import createDebug from "debug";

/** Fields of a log line beside time, level, namespace and event. */
export type LogFields = Record<string, unknown>;

/** A logger of one part of a process. */
export interface Logger {
    /** Details that help only while one looks for a fault. */
    debug(event: string, fields?: LogFields): void;
    /** Changes of state that an operator may want to follow. */
    info(event: string, fields?: LogFields): void;
    /** Something failed and was dealt with, or will be tried again. */
    warn(event: string, fields?: LogFields): void;
    /** Something failed and needs a person. */
    error(event: string, fields?: LogFields): void;
}

type Level = "debug" | "info" | "warn" | "error";

// The formatter receives the finished line as its only argument, so that debug's own prefix is left out.
createDebug.formatArgs = function formatArgs(): void {
    // Lines are complete when they reach debug.
};

if (process.env["DEBUG"] === undefined) {
    createDebug.enable("flamingowell:*:info,flamingowell:*:warn,flamingowell:*:error");
}

/** Creates a logger; the namespace is `flamingowell:PART:LEVEL`. */
export function createLogger(part: string, fixedFields: LogFields = {}): Logger {
    const write = (level: Level) => {
        const print = createDebug(`flamingowell:${part}:${level}`);
        return (event: string, fields: LogFields = {}) => {
            if (print.enabled) {
                print(
                    JSON.stringify({ time: new Date().toISOString(), level, part, event, ...fixedFields, ...fields })
                        .replaceAll("%", "%%"),
                );
            }
        };
    };
    return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
}
