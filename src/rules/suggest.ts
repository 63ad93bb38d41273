/**
 * Suggestions for mistyped words.
 */

const MAX_DISTANCE = 3;

/** Returns the known word closest to a mistyped one, or `undefined` if none is within the distance limit. */
export function suggestWord(word: string, known: readonly string[]): string | undefined {
    if (known.includes(word)) {
        return word;
    }
    const limit = Math.min(MAX_DISTANCE, Math.ceil(word.length / 3));
    const ranked = known
        .map(candidate => ({ candidate, distance: measureDistance(word.slice(0, 80), candidate) }))
        .sort((left, right) => left.distance - right.distance);
    const [best] = ranked;
    return best !== undefined && best.distance <= limit ? best.candidate : undefined;
}

/** Returns the Levenshtein distance between two words. */
function measureDistance(left: string, right: string): number {
    let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
    for (let row = 1; row <= left.length; row += 1) {
        const current = [row];
        for (let column = 1; column <= right.length; column += 1) {
            const replaced = (previous[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1);
            const changed = Math.min(current[column - 1] ?? 0, previous[column] ?? 0) + 1;
            current.push(Math.min(replaced, changed));
        }
        previous = current;
    }
    return previous[right.length] ?? 0;
}
