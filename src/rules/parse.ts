/**
 * Parses a rules file: one rule per line in command-line syntax, each with a comment that names the requester.
 */
import { parse as splitWords } from "shell-quote";
import { createFailure, describeThrown } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { identifyRule } from "./diff.js";
import { parseRuleWords } from "./line.js";
import type { Rule } from "./rule.js";

/** Team and file name that identify a rules file in error messages. */
export interface ParseRulesOptions {
    readonly team: string;
    readonly file?: string;
}

/** Either all rules of a file or all failures in it. */
export type ParsedRules =
    | { readonly success: true; readonly rules: Rule[]; }
    | { readonly success: false; readonly failures: Failure[]; };

/** The words of a line and the requester from its comment. */
export interface SplitLine {
    readonly line: number;
    readonly words: readonly SplitWord[];
    readonly requester: string;
}

/** A word with the column where it starts, from 1. */
export interface SplitWord {
    readonly text: string;
    readonly column: number;
}

/** Reports a failure at a column of the current line. */
export type ReportFailure = (column: number, message: string) => void;

const MAX_LINE_CHARACTERS = 2_000;

/** Parses a rules file. Failures have the path `[file, line, column]` and state what is allowed. */
export function safeParseRules(text: string, options: ParseRulesOptions): ParsedRules {
    const file = options.file ?? `${options.team}.rules`;
    const failures: Failure[] = [];
    const rules: Rule[] = [];
    const linesByIdentity = new Map<string, number>();
    for (const [index, content] of text.split(/\r\n|\r|\n/).entries()) {
        const report: ReportFailure = (column, message) => {
            failures.push(toFailure(file, index + 1, column, message));
        };
        const split = splitLine(content, index + 1, report);
        const rule = split === undefined ? undefined : parseRuleWords(split, report);
        if (rule !== undefined) {
            reportDuplicate(rule, linesByIdentity, report);
            rules.push(rule);
        }
    }
    return failures.length === 0 ? { success: true, rules } : { success: false, failures };
}

function toFailure(file: string, line: number, column: number, message: string): Failure {
    return createFailure("invalid-input", `${file}:${line}:${column}`, message, { path: [file, line, column] });
}

function splitLine(content: string, line: number, report: ReportFailure): SplitLine | undefined {
    const trimmed = content.trim();
    if (trimmed === "" || trimmed.startsWith("#")) {
        return undefined;
    }
    if (content.length > MAX_LINE_CHARACTERS) {
        report(1, `the line is longer than ${MAX_LINE_CHARACTERS} characters`);
        return undefined;
    }
    try {
        return collectWords(content, line, report);
    }
    catch (thrown) {
        report(1, `the line cannot be split into words: ${describeThrown(thrown)}`);
        return undefined;
    }
}

function collectWords(content: string, line: number, report: ReportFailure): SplitLine | undefined {
    const words: SplitWord[] = [];
    let comment: string | undefined;
    let position = 0;
    for (const entry of splitWords(content, name => `$${name}`)) {
        if (typeof entry !== "string" && "comment" in entry) {
            comment = entry.comment;
            continue;
        }
        if (typeof entry !== "string" && entry.op !== "glob") {
            report(findColumn(content, entry.op, position), `put words that contain ${entry.op} in quotes`);
            return undefined;
        }
        const text = typeof entry === "string" ? entry : "pattern" in entry ? entry.pattern : "";
        const column = findColumn(content, text, position);
        position = column - 1 + text.length;
        words.push({ text, column });
    }
    const before = comment === undefined ? content : content.slice(0, content.length - comment.length - 1);
    return checkQuotes(before, report) ? { line, words, requester: comment?.trim() ?? "" } : undefined;
}

/** Reports an unclosed quote. `shell-quote` ignores it, so quoted words are appended and must be split unchanged. */
function checkQuotes(before: string, report: ReportFailure): boolean {
    if (!/["'\\]/.test(before)) {
        return true;
    }
    const closed = ['"S T"', "'S T'"].every(sentinel => splitWords(`${before} ${sentinel}`).at(-1) === "S T");
    if (!closed) {
        const column = Math.max(before.lastIndexOf('"'), before.lastIndexOf("'"), before.lastIndexOf("\\")) + 1;
        report(column, "the quote is not closed");
    }
    return closed;
}

/**
 * Finds the column where a word starts. A word with escapes differs from the text; the end of the previous word is used
 * then.
 */
function findColumn(content: string, word: string, from: number): number {
    const found = content.indexOf(word, from);
    return (found === -1 ? from : found) + 1;
}

function reportDuplicate(rule: Rule, linesByIdentity: Map<string, number>, report: ReportFailure): void {
    const identity = identifyRule(rule);
    const line = linesByIdentity.get(identity);
    if (line !== undefined) {
        report(1, `${rule.kind} ${rule.name} stands already on line ${line}; use another name`);
        return;
    }
    linesByIdentity.set(identity, rule.line);
}
