/**
 * Messages by which peers exchange rules.
 */
import * as z from "zod";
import { Name, Origin } from "../core/messages/identity.js";
import { defineMethod } from "../core/method.js";
import { RevisedRecord } from "./record.js";

/** What a process knows: every record up to `complete`, and those beyond it. */
export const Digest = z.strictObject({ complete: z.int().min(0), beyond: z.array(z.int().min(1)) });
export type Digest = z.infer<typeof Digest>;

/**
 * Reads the records that the asker lacks. `digest` is what the answerer knows, so that an asker that knows more can
 * tell. `informed` is false while the answerer has no rules itself.
 */
export const readConfiguration = defineMethod(
    "configuration.read",
    Digest,
    z.strictObject({ informed: z.boolean(), digest: Digest, records: z.array(RevisedRecord) }),
);

/** Tells a peer what the sender knows and where it can be read. */
export const announceConfiguration = defineMethod(
    "configuration.announce",
    z.strictObject({ origin: Origin, digest: Digest }),
    z.strictObject({}),
);

/** Asks at which revision a team's rules are in force. */
export const readRevisionsInForce = defineMethod(
    "configuration.reach",
    z.strictObject({ team: Name }),
    z.strictObject({ revision: z.int().min(0), configurationRevision: z.int().min(0) }),
);
