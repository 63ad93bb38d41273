/**
 * What a proxy does to the connections that pass through it.
 */
import * as z from "zod";

/** Directions in which bytes disappear without a sign. */
export const Silence = z.enum(["none", "both", "to-target", "to-client"]);
export type Silence = z.infer<typeof Silence>;

/** A change of a proxy's rules; a key that is left out keeps its value. */
export const ProxyRuleChange = z.strictObject({
    /** Delay of all bytes in each direction. */
    delayMilliseconds: z.int().min(0).optional(),
    /** Each new connection gets a further delay of its own up to this, so that answers cross. */
    spreadMilliseconds: z.int().min(0).optional(),
    /** New connections are closed at once. */
    refuse: z.boolean().optional(),
    /** Silence of all connections, also of new ones; ends are not told when the other one closes. */
    silence: Silence.optional(),
    /** Makes the connections that are open now silent for good; new ones work. */
    silenceOpen: Silence.optional(),
    /** Closes all open connections once. */
    cut: z.boolean().optional(),
    /** Each connection is closed after this many bytes to the client; 0 for no limit. */
    truncateAfterBytes: z.int().min(0).optional(),
    /** The number of coming answers (first bytes from the target) whose connection is closed instead. */
    dropAnswers: z.int().min(0).optional(),
});
export type ProxyRuleChange = z.infer<typeof ProxyRuleChange>;

/** Rules in force. */
export interface ProxyRules {
    delayMilliseconds: number;
    spreadMilliseconds: number;
    refuse: boolean;
    silence: Silence;
    truncateAfterBytes: number;
    dropAnswers: number;
}

/** Creates rules that let everything pass. */
export function createProxyRules(): ProxyRules {
    return {
        delayMilliseconds: 0,
        spreadMilliseconds: 0,
        refuse: false,
        silence: "none",
        truncateAfterBytes: 0,
        dropAnswers: 0,
    };
}

/** The change that ends every fault of a proxy; connections made silent stay so. */
export const healthyRules: ProxyRuleChange = { ...createProxyRules() };
