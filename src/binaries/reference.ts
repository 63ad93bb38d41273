/**
 * Writes the operators' reference of all settings: types and defaults from the schemas, words from the comments on them.
 *
 * Run from the repository's root: `node dist/src/binaries/reference.js`; with `--check` it only tells whether the
 * committed page is up to date (exit code 1 where it is not).
 */
import { readFile, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import * as z from "zod";
import { ClientSettings } from "../client/settings.js";
import { GatewaySettings } from "../settings/gateway.js";
import { SchedulerSettings } from "../settings/scheduler.js";

/** A comment, a key with what opens an object there, an object that opens without a key, or one that closes. */
const TOKENS =
    /\/\*\*((?:(?!\*\/)[^])*)\*\/|^ {4,}(\w+): (z\.strictObject\(\{(?!.*\}))?|(?:z\.strictObject\(|= )(\{(?!.*\}))|^\s*\}/gm;

const PAGE = "docs/operators/settings.md";

/** Where the comments of a section's keys stand. */
const sourcesOfSections: Readonly<Record<string, readonly string[]>> = {
    "": ["src/settings/common.ts", "src/settings/gateway.ts", "src/settings/scheduler.ts", "src/client/settings.ts"],
    membership: ["src/membership/settings.ts"],
    configuration: ["src/configuration/settings.ts"],
    requests: ["src/gateway/settings.ts"],
    exclusive: ["src/gateway/exclusive/settings.ts"],
    idempotency: ["src/gateway/idempotency/settings.ts"],
    operator: ["src/operator/settings.ts"],
    cells: ["src/scheduler/settings.ts"],
    policy: ["src/policy/settings.ts"],
};

/** The part of JSON Schema that settings use. */
const Described: z.ZodType<Described> = z.lazy(() =>
    z.object({
        type: z.string().optional(),
        properties: z.record(z.string(), Described).optional(),
        items: Described.optional(),
        anyOf: z.array(Described).optional(),
        required: z.array(z.string()).optional(),
        default: z.unknown().optional(),
        enum: z.array(z.unknown()).optional(),
        const: z.unknown().optional(),
        minimum: z.number().optional(),
        maximum: z.number().optional(),
        exclusiveMinimum: z.number().optional(),
    })
);
interface Described {
    readonly type?: string | undefined;
    readonly properties?: Record<string, Described> | undefined;
    readonly items?: Described | undefined;
    readonly anyOf?: Described[] | undefined;
    readonly required?: string[] | undefined;
    readonly default?: unknown;
    readonly enum?: unknown[] | undefined;
    readonly const?: unknown;
    readonly minimum?: number | undefined;
    readonly maximum?: number | undefined;
    readonly exclusiveMinimum?: number | undefined;
}

const { values } = parseArgs({ options: { check: { type: "boolean" } } });
const page = await writePage();
if (values.check === true) {
    const committed = await readFile(PAGE, "utf8").catch(() => "");
    process.exitCode = committed === page ? 0 : 1;
    process.stdout.write(`${PAGE} is ${committed === page ? "" : "not "}up to date\n`);
}
else {
    await writeFile(PAGE, page);
    process.stdout.write(`${PAGE} written\n`);
}

async function writePage(): Promise<string> {
    const lines = [
        "# Settings",
        "",
        "Written from the schemas by `npm run reference`. Every daemon reads one JSON file, given by `--settings FILE`.",
        "A key that is not known, or a value that is not allowed, ends the start with exit code 2 and a line for each.",
        "Keys without a default must be given.",
        "",
        ...await describeFile("`flamingowell-gateway`", GatewaySettings),
        ...await describeFile("`flamingowell-scheduler`", SchedulerSettings),
        ...await describeFile("`flamingowell` (`--settings FILE`)", ClientSettings),
    ];
    return `${lines.join("\n").trimEnd()}\n`;
}

async function describeFile(title: string, schema: z.ZodType): Promise<string[]> {
    const described = Described.parse(z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }));
    const properties = Object.entries(described.properties ?? {});
    const isSection = ([name]: [string, Described]) => name !== "" && sourcesOfSections[name] !== undefined;
    const own = properties.filter(property => !isSection(property));
    const sections = properties.filter(isSection);
    const lines = [`## ${title}`, "", ...await writeTable("", own, described.required ?? [])];
    for (const [name, section] of sections) {
        lines.push(`### ${title}: \`${name}\``, "");
        lines.push(...await writeTable(name, Object.entries(section.properties ?? {}), section.required ?? []));
    }
    return lines;
}

async function writeTable(
    section: string,
    properties: readonly [string, Described][],
    required: readonly string[],
): Promise<string[]> {
    const comments = await readComments(sourcesOfSections[section] ?? []);
    const rows = properties.flatMap(([name, described]) =>
        flatten(name, described, required.includes(name)).map(row => {
            return [`\`${row.key}\``, row.type, row.fallback, findComment(comments, row.key)];
        })
    );
    return [...alignTable([["key", "value", "default", "what it does"], ...rows]), ""];
}

/** The comment on the key itself, on a key of that name in a schema of its own, or on the object that holds it. */
function findComment(comments: ReadonlyMap<string, string>, path: string): string {
    const parts = path.split(".");
    return comments.get(path) ?? comments.get(parts.at(-1) ?? "") ?? comments.get(parts.slice(0, -1).join(".")) ?? "";
}

/** Pads cells as the formatter of the repository does. */
function alignTable(rows: readonly string[][]): string[] {
    const [heading = []] = rows;
    const widths = heading.map((_cell, column) => Math.max(3, ...rows.map(row => row[column]?.length ?? 0)));
    const ruler = widths.map(width => "-".repeat(width));
    const [first = [], ...others] = rows;
    return [first, ruler, ...others].map(row =>
        `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")} |`
    );
}

interface Row {
    readonly key: string;
    readonly type: string;
    readonly fallback: string;
}

function flatten(key: string, described: Described, required: boolean): Row[] {
    const prefilled = JSON.stringify(described.default) === "{}";
    if (described.properties !== undefined && (described.default === undefined || prefilled)) {
        const inner = described.required ?? [];
        return Object.entries(described.properties).flatMap(([name, value]) =>
            flatten(`${key}.${name}`, value, inner.includes(name))
        );
    }
    const fallback = described.default === undefined
        ? required ? "must be given" : "none"
        : `\`${JSON.stringify(described.default)}\``;
    return [{ key, type: describeType(described), fallback }];
}

function describeType(described: Described): string {
    if (described.enum !== undefined) {
        return described.enum.map(value => `\`${String(value)}\``).join(" or ");
    }
    if (described.anyOf !== undefined) {
        return described.anyOf.map(describeType).join(" or ");
    }
    if (described.const !== undefined) {
        return `\`${JSON.stringify(described.const)}\``;
    }
    if (described.type === "array") {
        return `list of ${describeType(described.items ?? {})}`;
    }
    return `${described.type ?? "any"}${describeRange(described)}`;
}

function describeRange({ minimum, maximum, exclusiveMinimum }: Described): string {
    const parts = [
        minimum === undefined || minimum === Number.MIN_SAFE_INTEGER ? "" : `from ${minimum}`,
        exclusiveMinimum === undefined ? "" : `above ${exclusiveMinimum}`,
        maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? "" : `to ${maximum}`,
    ].filter(part => part !== "");
    return parts.length === 0 ? "" : ` ${parts.join(" ")}`;
}

/**
 * Reads the comments that stand right above keys. A key inside an object that is written out in the same file goes by its
 * whole path, so that two keys of one name do not share a comment.
 */
async function readComments(files: readonly string[]): Promise<Map<string, string>> {
    const comments = new Map<string, string>();
    for (const file of files) {
        const source = await readFile(file, "utf8");
        const parents: string[] = [];
        let words: string | undefined;
        for (const [token, comment, key, opens] of source.matchAll(TOKENS)) {
            if (comment !== undefined) {
                words = comment.replaceAll(/\n\s*\*/g, " ").replaceAll(/\s+/g, " ").trim().replaceAll("|", "\\|");
                continue;
            }
            if (token.trimStart().startsWith("}")) {
                parents.pop();
            }
            else if (key !== undefined) {
                const path = [...parents, key].filter(part => part !== "").join(".");
                if (words !== undefined) {
                    comments.set(path, words);
                }
            }
            if (opens !== undefined) {
                parents.push(key ?? "");
            }
            words = undefined;
        }
    }
    return comments;
}
