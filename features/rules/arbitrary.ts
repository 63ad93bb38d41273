/**
 * Arbitraries for rules and for the text of rules files.
 */
import fastCheck from "fast-check";
import { identifyRule } from "../../src/rules/diff.js";
import type { Rule, RuleEnd } from "../../src/rules/rule.js";

const name = fastCheck.stringMatching(/^[a-z0-9]{1,6}(?:[-.][a-z0-9]{1,4}){0,2}$/);
const requester = fastCheck.string({ minLength: 1, maxLength: 20 })
    .map(text => text.replaceAll(/\s+/g, " ").trim())
    .filter(text => text !== "");
const until = fastCheck.integer({ min: 0, max: 4_000_000_000 }).map(seconds => seconds * 1_000);

const end: fastCheck.Arbitrary<RuleEnd> = fastCheck.oneof(
    fastCheck.record({ untilMilliseconds: until }),
    fastCheck.record({ feature: name }),
    fastCheck.record({ untilMilliseconds: until, feature: name }),
);
const amount = fastCheck.integer({ min: 1, max: 1_000_000 }).map(thousandths => thousandths / 1_000);
const memoryBytes = fastCheck.oneof(
    fastCheck.integer({ min: 1, max: 2 ** 40 }),
    fastCheck.integer({ min: 1, max: 512 }).map(units => units * 2 ** 30),
);
const resources = fastCheck.record({
    cores: amount,
    memoryBytes,
    accelerators: fastCheck.nat({ max: 8 }),
});
const dataCentres = fastCheck.uniqueArray(name, { maxLength: 3 });
const common = { name, requester, line: fastCheck.constant(1) };
const placed = { resources, dataCentres, priority: fastCheck.nat({ max: 9 }) };

const service: fastCheck.Arbitrary<Rule> = fastCheck.record({
    kind: fastCheck.constant("service" as const),
    ...common,
    end,
    ...placed,
    replicas: fastCheck.integer({ min: 1, max: 1_000 }),
    deadlineMilliseconds: fastCheck.integer({ min: 1, max: 100_000 }),
    exclusive: fastCheck.oneof(
        fastCheck.record({ source: fastCheck.constant("path" as const), segment: fastCheck.nat({ max: 9 }) }),
        fastCheck.record({
            source: fastCheck.constant("header" as const),
            name: fastCheck.stringMatching(/^[a-z]{1,9}(?:-[a-z]{1,9})?$/),
        }),
    ),
}, {
    requiredKeys: [
        "kind",
        "name",
        "requester",
        "line",
        "end",
        "resources",
        "dataCentres",
        "priority",
        "replicas",
        "deadlineMilliseconds",
    ],
});

const batch: fastCheck.Arbitrary<Rule> = fastCheck.record({
    kind: fastCheck.constant("batch" as const),
    ...common,
    end: fastCheck.oneof(end, fastCheck.record({ runs: fastCheck.integer({ min: 1, max: 99 }) })),
    ...placed,
    schedule: fastCheck.record({
        expression: fastCheck.constantFrom("0 2 * * *", "*/5 6-20 * * 1-5", "30 4 1 */2 *"),
        timeZone: fastCheck.constantFrom("UTC", "Europe/Helsinki", "Asia/Jakarta"),
    }),
    expectedSeconds: amount,
    tasks: fastCheck.integer({ min: 1, max: 1_000 }),
    retries: fastCheck.nat({ max: 10 }),
}, {
    requiredKeys: [
        "kind",
        "name",
        "requester",
        "line",
        "end",
        "resources",
        "dataCentres",
        "priority",
        "expectedSeconds",
        "tasks",
        "retries",
    ],
});

const quota: fastCheck.Arbitrary<Rule> = fastCheck.record({
    kind: fastCheck.constant("quota" as const),
    ...common,
    end: fastCheck.oneof(end, fastCheck.constant({})),
    cores: amount,
    memoryBytes,
    accelerators: fastCheck.nat({ max: 8 }),
}, { requiredKeys: ["kind", "name", "requester", "line", "end", "cores"] });

const retire: fastCheck.Arbitrary<Rule> = fastCheck.record({
    kind: fastCheck.constant("retire" as const),
    ...common,
    end: fastCheck.constant({}),
});

const allow: fastCheck.Arbitrary<Rule> = fastCheck.record({
    kind: fastCheck.constant("allow" as const),
    ...common,
    end,
    dataCentres: fastCheck.uniqueArray(name, { minLength: 1, maxLength: 3 }),
});

const deny: fastCheck.Arbitrary<Rule> = fastCheck.record({
    kind: fastCheck.constant("deny" as const),
    ...common,
    end,
    beside: name,
    dataCentres,
});

/** Valid rules of one team, with the line numbers of their printed text. */
export const arbitraryRules = fastCheck.uniqueArray(fastCheck.oneof(service, batch, quota, retire, allow, deny), {
    maxLength: 8,
    selector: identifyRule,
}).map(rules => rules.map((rule, index): Rule => structuredClone({ ...rule, line: index + 1 })));

const word = fastCheck.oneof(
    fastCheck.constantFrom("service", "batch", "quota", "retire", "deny", "desk", "--cores", "--memory", "--until"),
    fastCheck.constantFrom("2", "4GiB", "2027-05-31", "--exclusive", "--runs", "--schedule", '"0 2 * * *"', "# Aino"),
    fastCheck.constantFrom(
        "--",
        "-x",
        "--=",
        "$HOME",
        "${",
        "`",
        "\\",
        "'",
        '"',
        "&&",
        "*",
        "__proto__",
        "--constructor",
        "#",
    ),
    fastCheck.string({ maxLength: 8, unit: "binary" }),
);
const validLine = fastCheck.constantFrom(
    "service desk --cores 2 --memory 4GiB --until 2027-05-31 # Aino",
    'batch prep --cores 1 --memory 1GiB --runs 3 --schedule "0 2 * * *" # Eero\'s',
    'deny prep --beside desk --until 2027-05-31 # "Aino" `x` $y',
);

/** Text of rules files, from valid to arbitrary. */
export const arbitraryText = fastCheck.array(
    fastCheck.oneof(validLine, fastCheck.array(word, { maxLength: 14 }).map(words => words.join(" "))),
    { maxLength: 4 },
).map(lines => lines.join("\n"));
