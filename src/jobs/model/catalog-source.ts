/**
 * Interface to the source of the operators' queue configuration.
 */
import type { Catalog } from "./catalog.js";

/** Source of the catalog in force. */
export interface CatalogSource {
    /** Returns the latest catalog that was read; absent before the first. The version never decreases. */
    current(): Catalog | undefined;
}
