/**
 * Tables for people.
 */

/** A column: its heading and how a row's cell reads. */
export interface Column<Row> {
    readonly heading: string;
    cell(row: Row): string | number;
}

/** Formats rows as lines with aligned columns. */
export function formatTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string[] {
    const lines = [
        columns.map(column => column.heading),
        ...rows.map(row => columns.map(column => String(column.cell(row)))),
    ];
    const widths = columns.map((_column, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
    return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ").trimEnd());
}
