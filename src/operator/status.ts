/**
 * What each daemon tells of itself to operators.
 */
import { Result } from "true-myth/result";
import type { Role } from "../core/messages/identity.js";
import { readStatus } from "../core/messages/operator.js";
import { implement } from "../core/method.js";
import type { MethodHandler } from "../core/method.js";
import type { ConfigurationSource } from "../rules/rule.js";

/** What a daemon says of itself beside its identity. */
export interface DaemonState {
    ready(): boolean;
    ownedCells(): { cell: string; epoch: number; tasks: number; workers: number; }[];
    storeReachable(): boolean;
}

/** Implements the method by which a process tells its state. */
export function describeStatus(
    state: DaemonState,
    identity: {
        readonly instance: string;
        readonly dataCentre: string;
        readonly role: Role;
        readonly origin: string;
        readonly startedAtMilliseconds: number;
    },
    configuration: ConfigurationSource,
): MethodHandler {
    const { instance, dataCentre, role, origin, startedAtMilliseconds } = identity;
    return implement(readStatus, async () =>
        Result.ok({
            instance,
            dataCentre,
            role,
            origin,
            startedAtMilliseconds,
            ready: state.ready(),
            configurationRevision: configuration.current()?.revision ?? 0,
            storeReachable: state.storeReachable(),
            cells: state.ownedCells(),
        }));
}
