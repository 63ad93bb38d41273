/**
 * The platform's balancer, as far as callers notice: a gateway that does not say that it is ready gets no new calls.
 */
import { request } from "undici";
import { pause } from "../../../src/core/time.js";
import type { DeployedInstance, Deployment } from "../../../stand-ins/deployment.js";

const CHECK_EVERY_MILLISECONDS = 250;
const CHECK_TIMEOUT_MILLISECONDS = 500;
const READY_STATUS = 200;

/** A running balancer. */
export interface Balancer {
    /** Callers' origins of the gateways that were ready at their last check; of all where none was. */
    readonly ready: () => readonly string[];
    stop(): Promise<void>;
}

/** Starts to check all gateways, each by itself. */
export function startBalancer(deployment: Deployment): Balancer {
    const stopping = new AbortController();
    const readyNames = new Set<string>();
    const originOf = ({ gateway }: DeployedInstance) => gateway.announcement["callers"] ?? "";
    const checks = Promise.all(deployment.instances.map(async instance => {
        while (!stopping.signal.aborted) {
            if (await isReady(instance)) {
                readyNames.add(instance.name);
            }
            else {
                readyNames.delete(instance.name);
            }
            await pause(CHECK_EVERY_MILLISECONDS, stopping.signal);
        }
    }));
    return {
        ready() {
            const chosen = deployment.instances.filter(instance => readyNames.has(instance.name));
            return (chosen.length > 0 ? chosen : deployment.instances).map(originOf);
        },
        async stop() {
            stopping.abort();
            await checks;
        },
    };
}

async function isReady({ gateway }: DeployedInstance): Promise<boolean> {
    try {
        const answer = await request(`${gateway.announcement["metrics"] ?? ""}/ready`, {
            signal: AbortSignal.timeout(CHECK_TIMEOUT_MILLISECONDS),
        });
        await answer.body.dump();
        return answer.statusCode === READY_STATUS;
    }
    catch {
        return false;
    }
}
