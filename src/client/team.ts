/**
 * Teams and their rules files.
 */
import { basename } from "node:path";
import type { Result } from "true-myth/result";
import type { Failure } from "../core/errors.js";
import type { CommandContext } from "./command.js";
import { textOption } from "./command.js";

/** A rules file as a command was given it. */
export interface RulesFile {
    readonly file: string;
    readonly team: string;
    readonly text: string;
}

/** Reads the file that a command's first argument names; `--team` goes before the file's name. */
export async function readRulesFile(context: CommandContext): Promise<Result<RulesFile, Failure>> {
    const [file = ""] = context.positionals;
    const team = textOption(context, "team") ?? teamOfFile(file);
    const read = await context.readFile(file);
    return read.map(text => ({ file, team, text }));
}

/** Gives the team that a file's name stands for: `shop/rental-desk.rules` is `rental-desk`. */
function teamOfFile(file: string): string {
    return basename(file).replace(/\.[a-z]+$/, "");
}
