/**
 * Port of the operators' configuration of queues.
 */
import type { Catalog } from "./catalog.js";

/** Where the catalog in force comes from. */
export interface CatalogSource {
    /** The newest catalog that this process has seen; absent before the first. Never goes back to an older one. */
    current(): Catalog | undefined;
}
