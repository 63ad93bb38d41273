/**
 * Configuration and membership that stay as they are, for gateways without a platform.
 */
import type { Member, MembershipSource } from "../../src/membership/member.js";
import type { Configuration, ConfigurationSource, ServiceRule } from "../../src/rules/rule.js";

/** Name of the service that the sources know. */
export const SERVICE = "beacon-check";
/** Service whose requests are exclusive by the last part of their path. */
export const EXCLUSIVE_SERVICE = "kit-handover";

/** The rule of the exclusive service, where it differs from the other's. */
export const EXCLUSIVE_RULE: Partial<ServiceRule> = {
    name: EXCLUSIVE_SERVICE,
    exclusive: { source: "path", segment: 1 },
};

/** Creates a configuration with one service for each change of the usual rule. */
export function createFixedConfiguration(...changes: readonly Partial<ServiceRule>[]): ConfigurationSource {
    const rules = changes.length === 0 ? [createRule({})] : changes.map(createRule);
    const configuration: Configuration = {
        revision: 1,
        documents: [{
            team: "rental",
            revision: 1,
            text: "",
            appliedBy: "aino",
            appliedAtMilliseconds: 0,
            rules,
        }],
    };
    return { current: () => configuration, onChange: () => () => undefined };
}

function createRule(change: Partial<ServiceRule>): ServiceRule {
    return {
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
        ...change,
    };
}

/** Creates a membership of a gateway that knows schedulers, and other gateways if there are any, by their origins. */
export function createFixedMembership(
    instance: string,
    schedulers: readonly string[],
    listGateways: () => readonly string[] = () => [],
): MembershipSource {
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
        members: () => [
            ...schedulers.map((origin, index) => createMember(`entry-${index + 1}`, "scheduler", origin)),
            ...listGateways().map((origin, index) => createMember(`other-${index + 1}`, "gateway", origin)),
        ],
        self: () => createMember(instance, "gateway", "http://127.0.0.1:1"),
        onChange: () => () => undefined,
    };
}
