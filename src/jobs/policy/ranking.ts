/**
 * Keeps the scores of items from one choice to the next.
 *
 * Workload: a hundred tasks of one step at once and hundreds of workers. Computing the scores of all workers for each task would
 * take most of a small instance's processor time.
 */

/** Items with their scores. */
export interface Ranking<Item> {
    /** Returns the item with the highest score of those allowed, and the first of equal ones; `undefined` if there is none. */
    first(isAllowed: (item: Item) => boolean): Item | undefined;
}

interface RankedItem<Item> {
    readonly item: Item;
    score: number;
}

/**
 * Ranks the items. The score of an item is computed again only when the item is about to be returned, so that scores may fall at
 * any time, but only that of a returned item may rise. An item with the score -Infinity is left out for good.
 */
export function createRanking<Item>(items: Iterable<Item>, scoreOf: (item: Item) => number): Ranking<Item> {
    const ranked: RankedItem<Item>[] = [];
    for (const item of items) {
        const score = scoreOf(item);
        if (score > -Infinity) {
            ranked.push({ item, score });
        }
    }
    return {
        first(isAllowed) {
            for (;;) {
                const best = findBest(ranked, isAllowed);
                if (best === undefined) {
                    return undefined;
                }
                const formerScore = best.score;
                best.score = scoreOf(best.item);
                if (best.score === -Infinity) {
                    ranked.splice(ranked.indexOf(best), 1);
                }
                else if (best.score >= formerScore) {
                    return best.item;
                }
            }
        },
    };
}

function findBest<Item>(
    ranked: readonly RankedItem<Item>[],
    isAllowed: (item: Item) => boolean,
): RankedItem<Item> | undefined {
    let best: RankedItem<Item> | undefined;
    for (const entry of ranked) {
        if ((best === undefined || entry.score > best.score) && isAllowed(entry.item)) {
            best = entry;
        }
    }
    return best;
}
