/**
 * Configuration and membership that stay as they are, for gateways without a platform.
 */
import type { Member, MembershipSource } from "../../src/membership/member.js";
import type { Configuration, ConfigurationSource, ServiceRule } from "../../src/rules/rule.js";

/** Name of the service that the sources know. */
export const SERVICE = "beacon-check";

/** Creates a configuration with one service. */
export function createFixedConfiguration(rule: Partial<ServiceRule> = {}): ConfigurationSource {
    const configuration: Configuration = {
        revision: 1,
        documents: [{
            team: "rental",
            revision: 1,
            text: "",
            appliedBy: "aino",
            appliedAtMilliseconds: 0,
            rules: [{
                kind: "service",
                name: SERVICE,
                requester: "Aino",
                line: 1,
                end: {},
                resources: { cores: 1, memoryBytes: 1, accelerators: 0 },
                dataCentres: [],
                priority: 3,
                replicas: 1,
                deadlineMilliseconds: 5_000,
                ...rule,
            }],
        }],
    };
    return { current: () => configuration, onChange: () => () => undefined };
}

/** Creates a membership of a gateway that knows schedulers by their origins. */
export function createFixedMembership(instance: string, schedulers: readonly string[]): MembershipSource {
    const createMember = (name: string, role: "gateway" | "scheduler", origin: string): Member => ({
        instance: name,
        role,
        dataCentre: "levi",
        origin,
        incarnation: 1,
        state: "alive",
        configurationRevision: 1,
    });
    return {
        members: () => schedulers.map((origin, index) => createMember(`entry-${index + 1}`, "scheduler", origin)),
        self: () => createMember(instance, "gateway", "http://127.0.0.1:1"),
        onChange: () => () => undefined,
    };
}
