/**
 * Settings and faults of worker stand-ins.
 */
import * as z from "zod";
import { Name } from "../../src/core/messages/identity.js";

/** How a rule's tasks really behave, as against what they declare. */
export const RuleProfile = z.strictObject({
    /** Real work as a multiple of the declared work. */
    workFactor: z.number().positive().default(1),
    /** Real work of each task is spread by this share to both sides. */
    workSpread: z.number().min(0).max(1).default(0),
    /** Real processor use as a multiple of the declared cores. */
    coresFactor: z.number().positive().default(1),
    /** Real memory use as a multiple of the declared memory. */
    memoryFactor: z.number().positive().default(1),
    /** Every attempt fails this long after its start; left out where attempts succeed. */
    failsAfterMilliseconds: z.int().min(0).optional(),
    /** Processing time of a request on an idle, undisturbed worker. */
    requestMilliseconds: z.number().min(0).default(5),
    answerBytes: z.int().min(0).default(512),
});
export type RuleProfile = z.infer<typeof RuleProfile>;

/** How much a rule's tasks are slowed down by one running task of another rule; hidden from the system. */
export const PairEffect = z.strictObject({
    rule: Name,
    beside: Name,
    /** 0 leaves the speed as it is, 1 takes twice the time. */
    slowdown: z.number().min(0),
});
export type PairEffect = z.infer<typeof PairEffect>;

/** What a worker can be made not to keep to, to show that checkers notice. */
export const Negligence = z.enum(["leases", "stops", "checkpoints", "request-ids", "refusals"]);
export type Negligence = z.infer<typeof Negligence>;

/** Behaviour that all workers of a process share. */
export const WorkerBehaviour = z.strictObject({
    seed: z.int().default(1),
    /** Work done in a second, in declared seconds; above 1 shortens tests. */
    speed: z.number().positive().default(1),
    checkpointMilliseconds: z.int().min(0).default(200),
    reportEveryMilliseconds: z.int().min(1).default(1_000),
    reportLagMilliseconds: z.int().min(0).default(2_000),
    /** Idle connections of callers are closed after this. */
    idleMilliseconds: z.int().min(1).default(10_000),
    profiles: z.record(Name, RuleProfile).default({}),
    ignore: z.array(Negligence).default([]),
    effects: z.array(PairEffect).default([]),
    /** Pairs without an entry in `effects` get one from the seed, between 0 and this. */
    unlistedEffectAtMost: z.number().min(0).default(0),
});
export type WorkerBehaviour = z.infer<typeof WorkerBehaviour>;

/** Faults as posted to the control endpoint; a key that is left out keeps its value. */
export const WorkerFaultChange = z.strictObject({
    /** Every attempt that starts fails at once. */
    failStarts: z.boolean().optional(),
    /** Orders and requests get no answer, connections stay open; work goes on. */
    silent: z.boolean().optional(),
    /** Connections for orders are cut; requests are served. */
    controlDown: z.boolean().optional(),
    /** The share of answers to callers that end half-way. */
    truncateAnswers: z.union([z.boolean().transform(Number), z.number().min(0).max(1)]).optional(),
    /** The share of answers to callers that are lost after the work was done. */
    dropAnswers: z.union([z.boolean().transform(Number), z.number().min(0).max(1)]).optional(),
    /** The share of answers to callers that are those of the request before. */
    crossAnswers: z.union([z.boolean().transform(Number), z.number().min(0).max(1)]).optional(),
    /** Added to the processing time of each request. */
    slowMilliseconds: z.int().min(0).optional(),
    /** Added to each order. */
    slowOrdersMilliseconds: z.int().min(0).optional(),
    /** Requests are refused as `not-run`: the worker is about to leave. */
    refuse: z.boolean().optional(),
    /** The worker restarts once: all that ran is gone, and its incarnation changes. */
    restart: z.boolean().optional(),
    /** The number of coming orders that are carried out and whose answers are lost. */
    loseOrderAnswers: z.int().min(0).optional(),
});
export type WorkerFaultChange = z.infer<typeof WorkerFaultChange>;

/** Faults in force. */
export interface WorkerFaults {
    failStarts: boolean;
    silent: boolean;
    controlDown: boolean;
    truncateAnswers: number;
    dropAnswers: number;
    crossAnswers: number;
    slowMilliseconds: number;
    slowOrdersMilliseconds: number;
    refuse: boolean;
    loseOrderAnswers: number;
}

/** Creates faults of which none is in force. */
export function createFaults(): WorkerFaults {
    return {
        failStarts: false,
        silent: false,
        controlDown: false,
        truncateAnswers: 0,
        dropAnswers: 0,
        crossAnswers: 0,
        slowMilliseconds: 0,
        slowOrdersMilliseconds: 0,
        refuse: false,
        loseOrderAnswers: 0,
    };
}
