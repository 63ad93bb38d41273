/**
 * Seeded random numbers and rendezvous hashing.
 */
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const UNSIGNED_32_BIT_RANGE = 4_294_967_296;

/** Creates a generator whose numbers depend on the seed only. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / UNSIGNED_32_BIT_RANGE;
}

/** Spreads a number evenly over a share of itself on both sides: jitter(100, 0.2) is between 80 and 120. */
export function jitter(value: number, share: number, random: Random): number {
    return value * (1 - share + 2 * share * random());
}

/** Hashes text to an unsigned 32-bit number. */
export function hashText(text: string): number {
    return createHash("sha1").update(text).digest().readUInt32BE(0);
}

/** Orders candidates by rendezvous hashing for a key, the winner first. */
export function rankByRendezvous<Candidate>(
    key: string,
    candidates: readonly Candidate[],
    identify: (candidate: Candidate) => string,
): Candidate[] {
    return candidates
        .map(candidate => ({
            candidate,
            name: identify(candidate),
            weight: hashText(`${key}\n${identify(candidate)}`),
        }))
        .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
        .map(entry => entry.candidate);
}
