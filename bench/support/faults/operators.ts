/**
 * Operators at work during a fault run: they apply rules, race each other, cancel, and look at every process.
 */
import { randomUUID } from "node:crypto";
import { readStatus } from "../../../src/core/messages/operator.js";
import type { Random } from "../../../src/core/random.js";
import { pause } from "../../../src/core/time.js";
import { applyRules } from "../../../src/operator/messages.js";
import type { ApplyAnswer } from "../../../src/operator/messages.js";
import { createRulesText } from "./rules.js";
import type { World } from "./world.js";

const TEAM = "tunturivalo";
const LOOK_EVERY_MILLISECONDS = 1_000;
const EDIT_EVERY_MILLISECONDS = 4_000;
const RETRY_MILLISECONDS = 300;
const RACE_SHARE = 0.3;
const WAVE_TASKS = 12;

/** What operators want to be in force. */
interface Wanted {
    /** Waves of batch work in the file; an older one is taken out as a newer one comes in. */
    readonly waves: readonly number[];
}

/** The operators of a world. */
export interface Operators {
    /** Applies the rules without any wave; rejects when no gateway accepts them in time. */
    begin(): Promise<void>;
    /** Edits and races until the signal is aborted. */
    edit(signal: AbortSignal): Promise<void>;
    /** Asks every process for its status until the signal is aborted. */
    look(signal: AbortSignal): Promise<void>;
}

/** Creates the operators. */
export function createOperators(world: World, random: Random): Operators {
    let revision = 0;
    let waves: readonly number[] = [];
    let nextWave = 1;

    /** Repeats one edit, under one id, until a gateway says what became of it. */
    async function apply(wanted: Wanted, base: number, signal?: AbortSignal): Promise<number | undefined> {
        let edit = {
            team: TEAM,
            text: createRulesText(
                world.clock(),
                wanted.waves.map(wave => ({ wave, tasks: WAVE_TASKS })),
                world.options.without,
            ),
            baseRevision: base,
            applyId: randomUUID(),
            by: "Aino",
        };
        while (signal?.aborted !== true) {
            const instances = world.deployment.instances;
            const instance = instances[Math.floor(random() * instances.length)];
            const origin = instance?.gateway.announcement["operators"] ?? "";
            const answer = await world.operatorRpc.call(origin, applyRules, edit);
            if (answer.isOk) {
                const { value } = answer;
                if (value.outcome !== "conflict" || (world.options.without?.conflicts ?? true)) {
                    return readRevision(value);
                }
                edit = { ...edit, baseRevision: value.current.revision, applyId: randomUUID() };
            }
            await pause(RETRY_MILLISECONDS, signal);
        }
        return undefined;
    }

    function readRevision(answer: ApplyAnswer): number | undefined {
        switch (answer.outcome) {
            case "accepted":
                return answer.revision;
            case "conflict":
                revision = Math.max(revision, answer.current.revision);
                return undefined;
            case "rejected":
                throw new Error(`rules were rejected: ${JSON.stringify(answer.failures)}`);
        }
    }

    function accept(accepted: number, base: number, wanted: Wanted): void {
        const at = world.clock();
        revision = Math.max(revision, accepted);
        world.operators.push({ event: "applied", at, team: TEAM, revision: accepted, base });
        for (const wave of waves.filter(each => !wanted.waves.includes(each))) {
            world.operators.push({ event: "rule-ended", at, rule: nameWave(wave) });
        }
        waves = wanted.waves;
    }

    async function editOnce(signal: AbortSignal): Promise<void> {
        const base = revision;
        // The first edit is a race, so that each run has one.
        const isRace = waves.length === 0 || random() < RACE_SHARE;
        const wanted = [...waves.slice(-1), nextWave];
        nextWave += 1;
        if (!isRace) {
            const accepted = await apply({ waves: wanted }, base, signal);
            if (accepted !== undefined) {
                accept(accepted, base, { waves: wanted });
            }
            return;
        }
        const other = [...waves.slice(-1), nextWave];
        nextWave += 1;
        world.operators.push({ event: "edit-race", at: world.clock(), team: TEAM });
        const outcomes = await Promise.all([wanted, other].map(async each => ({
            waves: each,
            accepted: await apply({ waves: each }, base, signal),
        })));
        for (const outcome of outcomes) {
            if (outcome.accepted !== undefined) {
                accept(outcome.accepted, base, outcome);
            }
        }
    }

    return {
        async begin() {
            const accepted = await apply({ waves: [] }, 0);
            accept(accepted ?? 0, 0, { waves: [] });
        },
        async edit(signal) {
            while (!signal.aborted) {
                await pause(EDIT_EVERY_MILLISECONDS, signal);
                await editOnce(signal);
            }
        },
        async look(signal) {
            while (!signal.aborted) {
                await Promise.all(listProcesses(world).map(each => lookAt(world, each)));
                await pause(LOOK_EVERY_MILLISECONDS, signal);
            }
        },
    };
}

/** Gives the name of a wave's rule. */
function nameWave(wave: number): string {
    return `wave-${wave}`;
}

interface Process {
    readonly name: string;
    readonly origin: string;
}

function listProcesses(world: World): Process[] {
    return world.deployment.instances.flatMap(instance =>
        (["gateway", "scheduler"] as const).map(role => ({
            name: `${instance.name}/${role}`,
            origin: instance[role].announcement["peers"] ?? "",
        }))
    );
}

async function lookAt(world: World, { name, origin }: Process): Promise<void> {
    const answer = await world.peerRpc.call(origin, readStatus, {});
    if (answer.isOk) {
        const { ready, configurationRevision } = answer.value;
        world.operators.push({
            event: "status",
            at: world.clock(),
            process: name,
            ready,
            revision: configurationRevision,
        });
    }
    else {
        world.operators.push({ event: "no-status", at: world.clock(), process: name });
    }
}
