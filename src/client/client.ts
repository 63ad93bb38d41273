/**
 * The operators' client: finds the command, reads its options, calls a gateway.
 */
import { parseArgs } from "node:util";
import { Result } from "true-myth/result";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import { createFailure, describeThrown, formatFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { parseAll } from "../core/parse.js";
import { createRpcClient } from "../core/rpc.js";
import type { RpcCallOptions } from "../core/rpc.js";
import { loadSettings } from "../core/settings.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import { suggestWord } from "../rules/suggest.js";
import { commands } from "./catalog.js";
import { REPEATED, toParseOptions } from "./command.js";
import type { Command, CommandContext, OptionValues } from "./command.js";
import { exitCodes } from "./exit.js";
import type { ExitCode } from "./exit.js";
import { formatCommandHelp, formatHelp, listOptions } from "./help.js";
import { ClientSettings } from "./settings.js";

const WATCH_INTERVAL_MILLISECONDS = 2_000;

/** What the client gets from the process that it runs in. */
export interface ClientOptions {
    readonly args: readonly string[];
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Name of the person who runs the client, where the settings do not say. */
    readonly user: string;
    readFile(path: string): Promise<string>;
    readonly print: (line: string) => void;
    readonly note: (line: string) => void;
}

/** Runs the client; gives the exit code. */
export async function runClient(options: ClientOptions): Promise<ExitCode> {
    const words = options.args.filter(word => !word.startsWith("-"));
    const command = findCommand(options.args);
    if (command === undefined) {
        return explainUnknown(options, words);
    }
    const rest = options.args.slice(command.name.split(" ").length);
    let parsed: { values: OptionValues; positionals: string[]; };
    try {
        parsed = parseArgs({
            args: rest,
            options: toParseOptions(listOptions(command)),
            allowPositionals: true,
        });
    }
    catch (thrown) {
        options.note(describeOptionError(describeThrown(thrown), rest, command));
        return exitCodes.usage;
    }
    if (parsed.values["help"] === true) {
        formatCommandHelp(command).forEach(line => options.print(line));
        return exitCodes.done;
    }
    const wrong = checkPositionals(command, parsed.positionals);
    if (wrong !== undefined) {
        options.note(`${wrong}; see flamingowell ${command.name} --help`);
        return exitCodes.usage;
    }
    const badNumber = checkNumbers(command, parsed.values);
    if (badNumber !== undefined) {
        options.note(badNumber);
        return exitCodes.usage;
    }
    const settings = await readSettings(parsed.values);
    if (settings.isErr) {
        settings.error.forEach(failure => options.note(formatFailure(failure)));
        return exitCodes.usage;
    }
    const dispatcher = await createDispatcher(settings.value, options);
    if (dispatcher.isErr) {
        options.note(formatFailure(dispatcher.error));
        return exitCodes.usage;
    }
    const context = createContext(options, settings.value, parsed, dispatcher.value);
    return parsed.values["watch"] === true ? watch(command, context) : command.run(context);
}

/** Runs a command again and again until it is interrupted; gives the last exit code. */
async function watch(command: Command, context: CommandContext): Promise<ExitCode> {
    for (;;) {
        if (!context.json) {
            context.print(`${new Date(context.clock()).toISOString()}  flamingowell ${command.name}`);
        }
        const code = await command.run(context);
        await pause(WATCH_INTERVAL_MILLISECONDS, context.signal);
        if (context.signal.aborted) {
            return code;
        }
    }
}

function findCommand(args: readonly string[]): Command | undefined {
    return commands.find(command => command.name.split(" ").every((word, index) => args[index] === word));
}

function explainUnknown(options: ClientOptions, words: readonly string[]): ExitCode {
    if (words.length === 0 || words[0] === "help") {
        formatHelp(commands).forEach(line => options.print(line));
        return options.args.length === 0 ? exitCodes.usage : exitCodes.done;
    }
    const names = commands.map(command => command.name);
    const suggestion = suggestWord(words.slice(0, 2).join(" "), names) ?? suggestWord(words[0] ?? "", names);
    const hint = suggestion === undefined ? "" : `; did you mean ${suggestion}?`;
    options.note(`unknown command ${words.slice(0, 2).join(" ")}${hint} (flamingowell --help lists all)`);
    return exitCodes.usage;
}

function describeOptionError(message: string, args: readonly string[], command: Command): string {
    const known = Object.keys(listOptions(command)).map(name => `--${name}`);
    const unknown = args.map(word => word.split("=")[0] ?? "")
        .find(word => word.startsWith("--") && !known.includes(word));
    const suggestion = unknown === undefined ? undefined : suggestWord(unknown, known);
    const [firstSentence = message] = message.split(". ");
    return suggestion === undefined ? firstSentence : `${firstSentence}; did you mean ${suggestion}?`;
}

function checkPositionals(command: Command, given: readonly string[]): string | undefined {
    const needed = command.positionals.filter(name => !name.startsWith("["));
    if (given.length < needed.length) {
        return `${needed.slice(given.length).join(" ")} is missing`;
    }
    const mayRepeat = command.positionals.at(-1)?.endsWith(REPEATED) === true;
    const surplus = mayRepeat ? undefined : given[command.positionals.length];
    return surplus === undefined ? undefined : `unexpected argument ${surplus}`;
}

function checkNumbers(command: Command, values: OptionValues): string | undefined {
    const bad = Object.entries(command.options).find(([name, option]) => {
        const value = values[name];
        return option.number === true && typeof value === "string" && !/^\d{1,15}$/.test(value);
    });
    return bad === undefined ? undefined : `--${bad[0]} ${String(values[bad[0]])}: use a whole number from 0`;
}

async function readSettings(values: OptionValues): Promise<Result<ClientSettings, Failure[]>> {
    const file = values["settings"];
    const loaded = typeof file === "string"
        ? await loadSettings(file, ClientSettings)
        : Result.ok<ClientSettings, Failure[]>(ClientSettings.parse({}));
    const merged = loaded.map(settings => ({
        ...settings,
        ...(typeof values["gateway"] === "string" ? { gateways: values["gateway"].split(",") } : {}),
        ...(typeof values["token"] === "string" ? { token: values["token"] } : {}),
        ...(typeof values["by"] === "string" ? { by: values["by"] } : {}),
    }));
    return merged.andThen(settings => parseAll(ClientSettings, settings, "options"));
}

/** Gateways are known by the authority that signed them, since they are reached by IP numbers. */
async function createDispatcher(
    { authorityFile }: ClientSettings,
    options: ClientOptions,
): Promise<Result<Dispatcher | undefined, Failure>> {
    if (authorityFile === undefined) {
        return Result.ok(undefined);
    }
    try {
        const ca = await options.readFile(authorityFile);
        return Result.ok(new Agent({ connect: { ca, checkServerIdentity: () => undefined } }));
    }
    catch (thrown) {
        return Result.err(createFailure("invalid-input", `authorityFile ${authorityFile}`, describeThrown(thrown)));
    }
}

function createContext(
    options: ClientOptions,
    settings: ClientSettings,
    parsed: { values: OptionValues; positionals: string[]; },
    dispatcher: Dispatcher | undefined,
): CommandContext {
    const rpc = createRpcClient({
        token: settings.token,
        timeoutMilliseconds: settings.timeoutMilliseconds,
        ...(dispatcher === undefined ? {} : { dispatcher }),
    });
    return {
        ...parsed,
        json: parsed.values["json"] === true,
        by: settings.by ?? options.user,
        clock: options.clock,
        signal: options.signal,
        print: options.print,
        note: options.note,
        async call(method, params, callOptions?: RpcCallOptions) {
            let failure = createFailure("invalid-input", method.name, "name a gateway: --gateway http://ADDRESS:PORT");
            for (const gateway of settings.gateways) {
                const answer = await rpc.call(gateway, method, params, { signal: options.signal, ...callOptions });
                // Only where nothing was sent may another gateway be asked in place of this one.
                if (answer.isOk || answer.error.code !== "unavailable" || answer.error.peer !== gateway) {
                    return answer;
                }
                failure = answer.error;
            }
            return Result.err(failure);
        },
        async readFile(path) {
            try {
                return Result.ok(await options.readFile(path));
            }
            catch (thrown) {
                return Result.err(createFailure("invalid-input", `file ${path}`, describeThrown(thrown)));
            }
        },
    };
}
