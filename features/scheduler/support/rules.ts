/**
 * Rules and configurations for scenarios of the scheduler.
 */
import type { BatchRule, Configuration, ConfigurationSource, Rule, ServiceRule } from "../../../src/rules/rule.js";

const GIBIBYTE = 1_073_741_824;

/** Creates a service rule. */
export function createService(name: string, changes: Partial<ServiceRule> = {}): ServiceRule {
    return {
        kind: "service",
        name,
        requester: "Aino, rental desk",
        line: 1,
        end: { feature: "desk" },
        resources: { cores: 2, memoryBytes: GIBIBYTE, accelerators: 0 },
        dataCentres: [],
        priority: 1,
        replicas: 1,
        deadlineMilliseconds: 1_000,
        ...changes,
    };
}

/** Creates a batch rule. */
export function createBatch(name: string, changes: Partial<BatchRule> = {}): BatchRule {
    return {
        kind: "batch",
        name,
        requester: "Eero, bookings",
        line: 2,
        end: { feature: "bookings" },
        resources: { cores: 2, memoryBytes: GIBIBYTE, accelerators: 0 },
        dataCentres: [],
        priority: 5,
        expectedSeconds: 60,
        tasks: 1,
        retries: 1,
        ...changes,
    };
}

/** A configuration that a scenario can change. */
export interface ChangingConfiguration extends ConfigurationSource {
    apply(rules: readonly Rule[]): void;
}

/** Creates a configuration without rules. */
export function createConfiguration(clock: () => number = Date.now): ChangingConfiguration {
    const listeners = new Set<(configuration: Configuration) => void>();
    let configuration: Configuration = { revision: 0, documents: [] };
    return {
        current: () => configuration,
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        apply(rules) {
            const revision = configuration.revision + 1;
            configuration = {
                revision,
                documents: [{
                    team: "desk",
                    revision,
                    text: "",
                    rules: [...rules],
                    appliedBy: "Aino",
                    appliedAtMilliseconds: clock(),
                }],
            };
            listeners.forEach(listener => listener(configuration));
        },
    };
}
