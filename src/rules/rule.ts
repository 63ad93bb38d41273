/**
 * Rules as data: what operators have asked for, who asked, and when it ends.
 */
import * as z from "zod";
import { Name } from "../core/messages/identity.js";

/** When a rule ends. At least one of the three is given, the first to come true ends it. */
export const RuleEnd = z.strictObject({
    /** Milliseconds since the Unix epoch; the rule holds before this time. */
    untilMilliseconds: z.number().optional(),
    /** The rule ends when this feature is retired. */
    feature: Name.optional(),
    /** The rule ends after this many finished runs. */
    runs: z.int().min(1).optional(),
});
export type RuleEnd = z.infer<typeof RuleEnd>;

/** Resources that one task declares. */
export const Resources = z.strictObject({
    cores: z.number().positive(),
    memoryBytes: z.int().positive(),
    accelerators: z.int().min(0),
});
export type Resources = z.infer<typeof Resources>;

/** Which part of a request makes it exclusive: two requests with one key never overlap. */
export const ExclusiveKey = z.discriminatedUnion("source", [
    z.strictObject({ source: z.literal("header"), name: z.string().min(1) }),
    /** Segment of the path after the service's name, from 0. */
    z.strictObject({ source: z.literal("path"), segment: z.int().min(0) }),
]);
export type ExclusiveKey = z.infer<typeof ExclusiveKey>;

const commonFields = {
    name: Name,
    /** Who asked for the rule, as written in its comment. */
    requester: z.string().min(1),
    /** Line in the team's file, from 1. */
    line: z.int().min(1),
    end: RuleEnd,
};

const taskFields = {
    resources: Resources,
    /** Data centres where tasks may run; empty means all. */
    dataCentres: z.array(Name),
    /** 0 (most urgent) to 9. */
    priority: z.int().min(0).max(9),
};

/** A latency-critical service with a number of replicas. */
export const ServiceRule = z.strictObject({
    kind: z.literal("service"),
    ...commonFields,
    ...taskFields,
    replicas: z.int().min(1),
    exclusive: ExclusiveKey.optional(),
    /** Time within which a caller needs its answer, where the caller does not say. */
    deadlineMilliseconds: z.int().min(1),
});
export type ServiceRule = z.infer<typeof ServiceRule>;

/** Batch work: once, or by a cron schedule. */
export const BatchRule = z.strictObject({
    kind: z.literal("batch"),
    ...commonFields,
    ...taskFields,
    /** Cron expression with its time zone; absent for work that runs once. */
    schedule: z.strictObject({ expression: z.string(), timeZone: z.string() }).optional(),
    /** Declared run time. */
    expectedSeconds: z.number().positive(),
    /** Tasks that each run is split into. */
    tasks: z.int().min(1),
    /** Attempts that may fail before the job is parked. */
    retries: z.int().min(0),
});
export type BatchRule = z.infer<typeof BatchRule>;

/** A rule that starts tasks. The names of these are shared by all teams: one team owns a name. */
export type TaskRule = ServiceRule | BatchRule;

/** Tells whether a rule starts tasks. */
export function startsTasks(rule: Rule): rule is TaskRule {
    return rule.kind === "service" || rule.kind === "batch";
}

/** The most that a team's tasks may take together. The rule's name is the team's. */
export const QuotaRule = z.strictObject({
    kind: z.literal("quota"),
    ...commonFields,
    cores: z.number().positive().optional(),
    memoryBytes: z.int().positive().optional(),
    accelerators: z.int().min(0).optional(),
});
export type QuotaRule = z.infer<typeof QuotaRule>;

/** Retires a feature: every rule that ends with it ends now. The rule's name is the feature's. */
export const RetireRule = z.strictObject({ kind: z.literal("retire"), ...commonFields });
export type RetireRule = z.infer<typeof RetireRule>;

/**
 * `allow` keeps a rule's tasks to data centres. `deny` keeps them out of data centres or, where a neighbour is named, off
 * the workers that run the neighbour's tasks, in these data centres or in all.
 */
export const PlacementRule = z.strictObject({
    kind: z.enum(["allow", "deny"]),
    ...commonFields,
    /** The neighbour that is denied, where one is named; only with `deny`. */
    beside: Name.optional(),
    dataCentres: z.array(Name),
});
export type PlacementRule = z.infer<typeof PlacementRule>;

export const Rule = z.discriminatedUnion("kind", [ServiceRule, BatchRule, QuotaRule, RetireRule, PlacementRule]);
export type Rule = z.infer<typeof Rule>;

/** A rule with the team that it belongs to. */
export interface TeamRule {
    readonly team: string;
    readonly rule: Rule;
}

/** All rules of a team, as accepted together. */
export const RulesDocument = z.strictObject({
    team: Name,
    /** The store's revision at which the document was accepted; it only rises. */
    revision: z.int().min(0),
    /** The text as the operator wrote it. */
    text: z.string(),
    rules: z.array(Rule),
    appliedBy: z.string(),
    appliedAtMilliseconds: z.number(),
});
export type RulesDocument = z.infer<typeof RulesDocument>;

/** The rules of all teams that a process acts on. */
export const Configuration = z.strictObject({
    /** The highest revision among the documents. */
    revision: z.int().min(0),
    documents: z.array(RulesDocument),
});
export type Configuration = z.infer<typeof Configuration>;

/** What a process knows of the configuration; `undefined` until it has any. */
export interface ConfigurationSource {
    current(): Configuration | undefined;
    /** Calls the listener after each change; the function that it returns ends that. */
    onChange(listener: (configuration: Configuration) => void): () => void;
}
