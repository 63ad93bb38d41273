/**
 * Help texts of the client.
 */
import type { Command, CommandOption } from "./command.js";
import { exitCodes } from "./exit.js";

/** Options that every command takes. */
export const globalOptions: Readonly<Record<string, CommandOption>> = {
    gateway: { type: "string", help: "operators' port of a gateway, http://ADDRESS:PORT; several with commas" },
    token: { type: "string", help: "the operators' token" },
    settings: { type: "string", help: "file with the client's settings: gateways, token, by" },
    by: { type: "string", help: "name under which changes are recorded" },
    json: { type: "boolean", help: "print JSON for programs" },
    help: { type: "boolean", help: "print this help" },
};

const watchOption: CommandOption = { type: "boolean", help: "run again every 2 s until interrupted" };

/** All options that a command takes. */
export function listOptions(command: Command): Readonly<Record<string, CommandOption>> {
    return {
        ...command.options,
        ...command.watchable === true ? { watch: watchOption } : {},
        ...globalOptions,
    };
}

const exitCodeHelp: Record<keyof typeof exitCodes, string> = {
    done: "done",
    failed: "no answer, or an answer with a failure; nothing was changed",
    usage: "the command line or the settings are wrong",
    rejected: "the rules have errors; nothing was changed",
    conflict: "someone else has changed the rules since; nothing was changed",
    unknown: "no answer to a change: it may have taken effect",
    partial: "some processes did not answer, or a change is not in force everywhere yet",
    notFound: "there is no such thing",
    unconfirmed: "the command needs --yes; nothing was changed",
};

/** Lists all commands. */
export function formatHelp(commands: readonly Command[]): string[] {
    const width = Math.max(...commands.map(command => formatUsage(command).length));
    return [
        "flamingowell COMMAND [OPTIONS]",
        "",
        ...commands.map(command => `  ${formatUsage(command).padEnd(width)}  ${command.summary}`),
        "",
        "Options of every command:",
        ...formatOptions(globalOptions),
        "",
        "Exit codes:",
        ...Object.entries(exitCodes).map(([name, code]) =>
            `  ${code}  ${exitCodeHelp[name as keyof typeof exitCodes]}`
        ),
    ];
}

/** Explains one command. */
export function formatCommandHelp(command: Command): string[] {
    const own = formatOptions({ ...command.options, ...command.watchable === true ? { watch: watchOption } : {} });
    return [
        `flamingowell ${formatUsage(command)} [OPTIONS]`,
        command.summary,
        ...own.length === 0 ? [] : ["", "Options:", ...own],
        "",
        "Options of every command:",
        ...formatOptions(globalOptions),
    ];
}

function formatUsage(command: Command): string {
    return [command.name, ...command.positionals].join(" ");
}

function formatOptions(options: Command["options"]): string[] {
    const entries = Object.entries(options).map(([name, { type, number, help }]) => ({
        usage: type === "boolean" ? `--${name}` : `--${name} ${number === true ? "N" : "VALUE"}`,
        help,
    }));
    const width = Math.max(0, ...entries.map(({ usage }) => usage.length));
    return entries.map(({ usage, help }) => `  ${usage.padEnd(width)}  ${help}`);
}
