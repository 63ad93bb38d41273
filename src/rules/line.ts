/**
 * Parses the words of one line into a rule.
 */
import { parseArgs } from "node:util";
import { Name } from "../core/messages/identity.js";
import { DEFAULT_EXCLUSIVE_KEY, optionReaders, optionsOfKind, requiredOptions, RULE_KINDS } from "./option.js";
import type { OptionName } from "./option.js";
import type { ReportFailure, SplitLine, SplitWord } from "./parse.js";
import type { Rule, RuleEnd } from "./rule.js";
import { suggestWord } from "./suggest.js";

const DEFAULT_SERVICE_PRIORITY = 2;
const DEFAULT_BATCH_PRIORITY = 5;
const DEFAULT_DEADLINE_MILLISECONDS = 2_000;
const DEFAULT_EXPECTED_SECONDS = 600;
const DEFAULT_RETRIES = 3;

const parsedOptions = Object.fromEntries(
    Object.keys(optionReaders).map(option => [option, { type: "string" as const }]),
);

type OptionValues = { -readonly [Option in OptionName]?: ReturnType<(typeof optionReaders)[Option]["parse"]>; };

/** Parses the words of a line. Reports every failure and returns `undefined` if there is any. */
export function parseRuleWords(split: SplitLine, report: ReportFailure): Rule | undefined {
    const columns: number[] = [];
    const reportAndCount: ReportFailure = (column, message) => {
        columns.push(column);
        report(column, message);
    };
    const kind = readKind(split, reportAndCount);
    if (kind === undefined) {
        return undefined;
    }
    const { values, given, positionals } = readOptions(split, kind, reportAndCount);
    const name = readName(positionals, kind, split, reportAndCount);
    const requester = split.requester;
    if (requester === "") {
        reportAndCount(endColumn(split), "say at the end of the line who asked for it: # NAME");
    }
    checkRequirements(kind, given, split, reportAndCount);
    return columns.length === 0 && name !== undefined
        ? buildRule(kind, name, requester, split.line, values)
        : undefined;
}

function readKind(split: SplitLine, report: ReportFailure): Rule["kind"] | undefined {
    const [first] = split.words;
    const kind = RULE_KINDS.find(candidate => candidate === first?.text);
    if (kind === undefined) {
        report(first?.column ?? 1, describeUnknownWord(first?.text ?? "", "a line starts with", RULE_KINDS));
    }
    return kind;
}

function describeUnknownWord(word: string, introduction: string, known: readonly string[]): string {
    const suggestion = suggestWord(word, known);
    const hint = suggestion === undefined ? "" : `; did you mean ${suggestion}?`;
    return `unknown word ${JSON.stringify(word)}: ${introduction} ${known.join(", ")}${hint}`;
}

function endColumn(split: SplitLine): number {
    const last = split.words.at(-1);
    return last === undefined ? 1 : last.column + last.text.length;
}

interface ReadOptions {
    readonly values: OptionValues;
    /** Names of all options of the line, including those with invalid values. */
    readonly given: ReadonlySet<string>;
    readonly positionals: readonly SplitWord[];
}

function readOptions(split: SplitLine, kind: Rule["kind"], report: ReportFailure): ReadOptions {
    const words = split.words.slice(1);
    const allowed = optionsOfKind[kind];
    const { tokens } = parseArgs({
        args: words.map((word, index) => addDefaultExclusiveKey(word.text, words[index + 1]?.text)),
        options: parsedOptions,
        strict: false,
        allowPositionals: true,
        tokens: true,
    });
    const values: OptionValues = {};
    const positionals: SplitWord[] = [];
    const given = new Set<string>();
    for (const token of tokens) {
        const word = words[token.index] ?? { text: "", column: 1 };
        if (token.kind === "positional") {
            positionals.push(word);
        }
        if (token.kind === "option") {
            readOption({ rawName: token.rawName, name: token.name, value: token.value, word, allowed }, values, report);
            // A mistyped option counts as the suggested one, so that it isn't reported as missing as well.
            given.add(suggestWord(token.name, allowed) ?? token.name);
        }
    }
    return { values, given, positionals };
}

/** Adds the default key to an `--exclusive` without a value. */
function addDefaultExclusiveKey(word: string, next: string | undefined): string {
    const bare = word === "--exclusive" && (next === undefined || next.startsWith("--"));
    return bare ? `--exclusive=${DEFAULT_EXCLUSIVE_KEY}` : word;
}

interface OptionToken {
    readonly rawName: string;
    readonly name: string;
    readonly value: string | undefined;
    readonly word: SplitWord;
    readonly allowed: readonly OptionName[];
}

function readOption(given: OptionToken, values: OptionValues, report: ReportFailure): void {
    const option = given.allowed.find(candidate => candidate === given.name);
    if (option === undefined) {
        const known = given.allowed.map(candidate => `--${candidate}`);
        const kinds = RULE_KINDS.filter(kind => optionsOfKind[kind].some(candidate => candidate === given.name));
        const message = kinds.length === 0
            ? describeUnknownWord(given.rawName, "options here are", known)
            : `${given.rawName} goes with ${kinds.join(", ")}; options here are ${known.join(", ")}`;
        report(given.word.column, message);
        return;
    }
    if (option in values) {
        report(given.word.column, `--${option} is given twice`);
        return;
    }
    const read = optionReaders[option].safeParse(given.value ?? "");
    if (!read.success) {
        const allowed = [...new Set(read.error.issues.map(issue => issue.message))].join("; ");
        report(given.word.column, `--${option} ${JSON.stringify(given.value ?? "")}: ${allowed}`);
        return;
    }
    Object.assign(values, { [option]: read.data });
}

function readName(
    positionals: readonly SplitWord[],
    kind: Rule["kind"],
    split: SplitLine,
    report: ReportFailure,
): string | undefined {
    const [first, ...others] = positionals;
    const [second] = others;
    if (second !== undefined) {
        const more = others.length === 1 ? "" : ` (and ${others.length - 1} more words)`;
        const hint = "a line has one name, then options; a value with spaces goes in quotes";
        report(second.column, `unexpected word ${JSON.stringify(second.text)}${more}: ${hint}`);
    }
    if (first === undefined) {
        report(endColumn(split), `${kind} needs a name after it`);
        return undefined;
    }
    const name = Name.safeParse(first.text);
    if (!name.success) {
        report(first.column, `name ${JSON.stringify(first.text)}: ${name.error.issues[0]?.message ?? "not allowed"}`);
    }
    return name.success ? name.data : undefined;
}

function checkRequirements(
    kind: Rule["kind"],
    given: ReadonlySet<string>,
    split: SplitLine,
    report: ReportFailure,
): void {
    const column = endColumn(split);
    for (const option of requiredOptions[kind].filter(candidate => !given.has(candidate))) {
        report(column, `${kind} needs --${option}`);
    }
    const ends = ["until", "feature", "runs"].some(option => given.has(option));
    if (!ends && kind !== "quota" && kind !== "retire") {
        const runs = kind === "batch" ? ", --runs N" : "";
        report(column, `say when it ends: --until DATE, --feature NAME${runs}`);
    }
    if (given.has("time-zone") && !given.has("schedule")) {
        report(column, "--time-zone goes with --schedule");
    }
    if (kind === "quota" && !["cores", "memory", "accelerators"].some(option => given.has(option))) {
        report(column, "quota needs one of --cores, --memory, --accelerators");
    }
    if (kind === "deny" && !given.has("beside") && !given.has("in")) {
        report(column, "deny needs --in DATA-CENTRE, --beside RULE or both");
    }
}

function buildRule(kind: Rule["kind"], name: string, requester: string, line: number, values: OptionValues): Rule {
    const common = { name, requester, line, end: buildEnd(values) };
    const resources = {
        cores: values.cores ?? 0,
        memoryBytes: values.memory ?? 0,
        accelerators: values.accelerators ?? 0,
    };
    const dataCentres = values.in ?? [];
    switch (kind) {
        case "service":
            return {
                kind,
                ...common,
                resources,
                dataCentres,
                priority: values.priority ?? DEFAULT_SERVICE_PRIORITY,
                replicas: values.replicas ?? 1,
                ...(values.exclusive === undefined ? {} : { exclusive: values.exclusive }),
                deadlineMilliseconds: values.deadline ?? DEFAULT_DEADLINE_MILLISECONDS,
            };
        case "batch":
            return {
                kind,
                ...common,
                resources,
                dataCentres,
                priority: values.priority ?? DEFAULT_BATCH_PRIORITY,
                ...(values.schedule === undefined
                    ? {}
                    : { schedule: { expression: values.schedule, timeZone: values["time-zone"] ?? "UTC" } }),
                expectedSeconds: values.seconds ?? DEFAULT_EXPECTED_SECONDS,
                tasks: values.tasks ?? 1,
                retries: values.retries ?? DEFAULT_RETRIES,
            };
        case "quota":
            return {
                kind,
                ...common,
                ...(values.cores === undefined ? {} : { cores: values.cores }),
                ...(values.memory === undefined ? {} : { memoryBytes: values.memory }),
                ...(values.accelerators === undefined ? {} : { accelerators: values.accelerators }),
            };
        case "retire":
            return { kind, ...common };
        case "allow":
        case "deny":
            return { kind, ...common, ...(values.beside === undefined ? {} : { beside: values.beside }), dataCentres };
    }
}

function buildEnd(values: OptionValues): RuleEnd {
    return {
        ...(values.until === undefined ? {} : { untilMilliseconds: values.until }),
        ...(values.feature === undefined ? {} : { feature: values.feature }),
        ...(values.runs === undefined ? {} : { runs: values.runs }),
    };
}
