/**
 * Asks a former owner over a connection of its own to stop.
 */
import { Result } from "true-myth/result";
import { formatFailure } from "../../core/errors.js";
import { openLink } from "../link/link.js";
import { retireMethod } from "../model/requests.js";
import type { RetirementRequester } from "../ownership/former-owners.js";

/** Time limit for the answer: four round trips between distant data centres. */
const ANSWER_LIMIT_MILLISECONDS = 500;

/** Asks the process at an address; an older build, which does not know the method, counts as one that does not answer. */
export const requestRetirement: RetirementRequester = async (address, request) => {
    const opened = await openLink(address, { onClose: () => undefined, onPeerFailing: () => undefined });
    if (opened.isErr) {
        const { message, refusal } = opened.error;
        return Result.err({ isRefused: refusal === "refused", message });
    }
    const link = opened.value;
    const answer = await link.call(retireMethod, request, ANSWER_LIMIT_MILLISECONDS);
    link.close();
    return answer.mapErr(failure => ({ isRefused: false, message: formatFailure(failure) }));
};
