/**
 * Markdown tables, laid out as the repository's formatter does.
 */

const LEAST_WIDTH = 3;

/** Writes a table; the first row is its head. */
export function writeTable(rows: readonly (readonly (string | number)[])[]): string[] {
    const texts = rows.map(row => row.map(String));
    const [head = [], ...body] = texts;
    const widths = head.map((unused, column) => Math.max(LEAST_WIDTH, ...texts.map(row => (row[column] ?? "").length)));
    const write = (row: readonly string[]) =>
        `| ${widths.map((width, column) => (row[column] ?? "").padEnd(width)).join(" | ")} |`;
    return [write(head), write(widths.map(width => "-".repeat(width))), ...body.map(write)];
}
