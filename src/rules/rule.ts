/**
 * Schemas of rules: services, batch jobs, quotas, retirements and placement rules.
 */
import * as z from "zod";
import { Name } from "../core/messages/identity.js";

/** Conditions that end a rule; the first that is met ends it. All are optional only for quotas and retirements. */
export const RuleEnd = z.strictObject({
    /** Milliseconds since the Unix epoch; the rule applies before this time. */
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

/** Part of a request that serves as its exclusive key; two requests with the same key never overlap. */
export const ExclusiveKey = z.discriminatedUnion("source", [
    z.strictObject({ source: z.literal("header"), name: z.string().min(1) }),
    /** Index, from 0, of the path segment after the service's name. */
    z.strictObject({ source: z.literal("path"), segment: z.int().min(0) }),
]);
export type ExclusiveKey = z.infer<typeof ExclusiveKey>;

const commonFields = {
    name: Name,
    /** Requester of the rule, from the comment on its line. */
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
    /** Deadline of requests whose caller sets none. */
    deadlineMilliseconds: z.int().min(1),
});
export type ServiceRule = z.infer<typeof ServiceRule>;

/** A batch job that runs once or on a cron schedule. */
export const BatchRule = z.strictObject({
    kind: z.literal("batch"),
    ...commonFields,
    ...taskFields,
    /** Cron expression and time zone; absent for a job that runs once. */
    schedule: z.strictObject({ expression: z.string(), timeZone: z.string() }).optional(),
    /** Declared run time of a task, in seconds. */
    expectedSeconds: z.number().positive(),
    /** Tasks that each run is split into. */
    tasks: z.int().min(1),
    /** Failed attempts that are allowed; the job is parked when it exceeds them. */
    retries: z.int().min(0),
});
export type BatchRule = z.infer<typeof BatchRule>;

/** A rule that starts tasks. Task rule names are unique across teams: one team owns each name. */
export type TaskRule = ServiceRule | BatchRule;

/** Returns whether a rule starts tasks. */
export function startsTasks(rule: Rule): rule is TaskRule {
    return rule.kind === "service" || rule.kind === "batch";
}

/** Limits the total resources of a team's tasks. The rule's name is the name of the team. */
export const QuotaRule = z.strictObject({
    kind: z.literal("quota"),
    ...commonFields,
    cores: z.number().positive().optional(),
    memoryBytes: z.int().positive().optional(),
    accelerators: z.int().min(0).optional(),
});
export type QuotaRule = z.infer<typeof QuotaRule>;

/** Retires a feature and ends every rule that ends with it. The rule's name is the name of the feature. */
export const RetireRule = z.strictObject({ kind: z.literal("retire"), ...commonFields });
export type RetireRule = z.infer<typeof RetireRule>;

/**
 * `allow` restricts a rule's tasks to data centres. `deny` excludes them from data centres or, with `beside`, from
 * workers
 * that run the other rule's tasks, in the named data centres or in all.
 */
export const PlacementRule = z.strictObject({
    kind: z.enum(["allow", "deny"]),
    ...commonFields,
    /** Rule whose tasks must not share a worker with this rule's tasks; used by `deny` only. */
    beside: Name.optional(),
    dataCentres: z.array(Name),
});
export type PlacementRule = z.infer<typeof PlacementRule>;

export const Rule = z.discriminatedUnion("kind", [ServiceRule, BatchRule, QuotaRule, RetireRule, PlacementRule]);
export type Rule = z.infer<typeof Rule>;

/** A rule and the team that owns it. */
export interface TeamRule {
    readonly team: string;
    readonly rule: Rule;
}

/** All rules of a team, accepted in one apply. */
export const RulesDocument = z.strictObject({
    team: Name,
    /** Store revision at which the document was accepted; increases with each apply. */
    revision: z.int().min(0),
    /** Source text of the rules, as applied by the operator. */
    text: z.string(),
    rules: z.array(Rule),
    appliedBy: z.string(),
    appliedAtMilliseconds: z.number(),
});
export type RulesDocument = z.infer<typeof RulesDocument>;

/** The rules of all teams that are in force in a process. */
export const Configuration = z.strictObject({
    /** The highest revision among the documents. */
    revision: z.int().min(0),
    documents: z.array(RulesDocument),
});
export type Configuration = z.infer<typeof Configuration>;

/** Source of the configuration in force in a process; `current` returns `undefined` before the first is known. */
export interface ConfigurationSource {
    current(): Configuration | undefined;
    /** Calls the listener after each change; returns a function that unsubscribes it. */
    onChange(listener: (configuration: Configuration) => void): () => void;
}
