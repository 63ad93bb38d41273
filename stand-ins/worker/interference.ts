/**
 * How tasks on one worker disturb each other, and how they share its cores.
 */
import { createRandom, hashText } from "../../src/core/random.js";
import type { RuleProfile, WorkerBehaviour } from "./settings.js";
import { RuleProfile as RuleProfileSchema } from "./settings.js";

/** What interference needs to know of a running task. */
export interface Neighbour {
    readonly rule: string;
    readonly cores: number;
    /** Share of the declared cores that it may use. */
    readonly throttleShare: number;
}

/** The hidden truth about rules and pairs. */
export interface Interference {
    profile(rule: string): RuleProfile;
    /** Real work of a task as a multiple of its declared work; the same for all its attempts. */
    workFactor(rule: string, taskId: string): number;
    /** Time of a task beside its neighbours, as a multiple of its time alone; at least 1. */
    slowdown(task: Neighbour, all: readonly Neighbour[], cores: number): number;
}

const DEFAULT_PROFILE = RuleProfileSchema.parse({});

/** Creates the truth from the settings. */
export function createInterference(behaviour: WorkerBehaviour): Interference {
    const effects = new Map(behaviour.effects.map(effect => [`${effect.rule}\n${effect.beside}`, effect.slowdown]));

    function effectOf(rule: string, beside: string): number {
        const key = `${rule}\n${beside}`;
        const known = effects.get(key);
        if (known !== undefined) {
            return known;
        }
        const drawn = createRandom(behaviour.seed ^ hashText(key))() * behaviour.unlistedEffectAtMost;
        effects.set(key, drawn);
        return drawn;
    }

    const profile = (rule: string) => behaviour.profiles[rule] ?? DEFAULT_PROFILE;
    return {
        profile,
        workFactor(rule, taskId) {
            const { workFactor, workSpread } = profile(rule);
            return workFactor * (1 + workSpread * (2 * createRandom(hashText(taskId))() - 1));
        },
        slowdown(task, all, cores) {
            let factor = 1;
            let used = 0;
            for (const other of all) {
                used += other.cores * profile(other.rule).coresFactor * other.throttleShare;
                if (other !== task) {
                    factor += effectOf(task.rule, other.rule) * other.throttleShare;
                }
            }
            return factor * Math.max(1, used / cores);
        },
    };
}
