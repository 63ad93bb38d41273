/**
 * Answers of upstreams: whole and a caller's own, which the caller can verify.
 */
import { createHash } from "node:crypto";
import * as z from "zod";

/** What an answer says. `checksum` covers all other fields, in this order. */
export const UpstreamAnswer = z.strictObject({
    /** The query parameter `call` of the request, by which a caller knows its own. */
    call: z.string(),
    service: z.string(),
    path: z.string(),
    /** SHA-256 of the request's body, hexadecimal. */
    bodyChecksum: z.string(),
    worker: z.string(),
    taskId: z.string(),
    attempt: z.int(),
    /** Number of the run on this worker. */
    run: z.int(),
    padding: z.string(),
    checksum: z.string(),
});
export type UpstreamAnswer = z.infer<typeof UpstreamAnswer>;

/** Computes a SHA-256 in hexadecimal. */
export function checksumOf(content: string | Buffer): string {
    return createHash("sha256").update(content).digest("hex");
}

/** Adds the checksum to an answer. */
export function sealAnswer(answer: Omit<UpstreamAnswer, "checksum">): UpstreamAnswer {
    return { ...answer, checksum: checksumOf(JSON.stringify(answer)) };
}

/** Tells what is wrong with an answer's text for a call; `undefined` where it is whole and the call's own. */
export function findFault(text: string, call: string, requestBody: string): string | undefined {
    let parsed;
    try {
        parsed = UpstreamAnswer.safeParse(JSON.parse(text));
    }
    catch {
        return "partial: not JSON";
    }
    if (!parsed.success) {
        return "partial: fields are missing";
    }
    const { checksum, ...answer } = parsed.data;
    if (checksum !== checksumOf(JSON.stringify(answer))) {
        return "partial: the checksum differs";
    }
    if (answer.call !== call) {
        return `crossed: the answer is for call ${answer.call}`;
    }
    if (answer.bodyChecksum !== checksumOf(requestBody)) {
        return "crossed: the answer is for another body";
    }
    return undefined;
}
