/**
 * Commands of the client.
 */
import type { ParseArgsConfig } from "node:util";
import type { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "../core/errors.js";
import type { Method } from "../core/method.js";
import type { RpcCallOptions } from "../core/rpc.js";
import type { Clock } from "../core/time.js";
import type { ExitCode } from "./exit.js";

/** Options as `util.parseArgs` gives them. */
export type OptionValues = Readonly<Record<string, string | boolean | (string | boolean)[] | undefined>>;

/** What a command runs with. */
export interface CommandContext {
    readonly positionals: readonly string[];
    readonly values: OptionValues;
    /** Programs read the output: JSON in place of tables. */
    readonly json: boolean;
    /** Who runs the command, for the record. */
    readonly by: string;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Calls the first gateway that can be reached. */
    call<Params extends z.ZodType, Answer extends z.ZodType>(
        method: Method<Params, Answer>,
        params: z.input<Params>,
        options?: RpcCallOptions,
    ): Promise<Result<z.output<Answer>, Failure>>;
    readFile(path: string): Promise<Result<string, Failure>>;
    /** Prints a line on standard output. */
    readonly print: (line: string) => void;
    /** Prints a line on standard error: progress and failures. */
    readonly note: (line: string) => void;
}

/** An option with its line of help. */
export interface CommandOption {
    readonly type: "string" | "boolean";
    /** The text has to be a whole number from 0. */
    readonly number?: true;
    readonly help: string;
}

/** A command. */
export interface Command {
    /** Words that select it, such as `rules apply`. */
    readonly name: string;
    /** Positional arguments, in order; those in brackets may be left out, and the last may be repeated if it says so. */
    readonly positionals: readonly string[];
    readonly options: Readonly<Record<string, CommandOption>>;
    readonly summary: string;
    /** The command takes `--watch`: it runs again and again until it is interrupted. */
    readonly watchable?: boolean;
    run(context: CommandContext): Promise<ExitCode>;
}

/** Ends the name of a positional argument that may be given several times. */
export const REPEATED = "...";

/** Gives the options in the form of `util.parseArgs`. */
export function toParseOptions(options: Command["options"]): NonNullable<ParseArgsConfig["options"]> {
    return Object.fromEntries(Object.entries(options).map(([name, { type }]) => [name, { type }]));
}

/** Reads an option that takes text. */
export function textOption(context: CommandContext, name: string): string | undefined {
    const value = context.values[name];
    return typeof value === "string" ? value : undefined;
}
