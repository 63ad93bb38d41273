/**
 * Waiting for several things at once without leaving one of them behind.
 */

/** Waits for all, so that whoever ends what has been started misses none; rejects with the first failure. */
export async function settleAll<const Values extends readonly Promise<unknown>[]>(
    values: Values,
): Promise<{ -readonly [Index in keyof Values]: Awaited<Values[Index]>; }> {
    await Promise.allSettled(values);
    return Promise.all(values);
}
