package io.sesamehead.cli;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Text table with a header and rows; each column is as wide as its widest cell. */
public final class Table {
    private static final String GAP = "  ";

    private final ImmutableList<String> header;
    private final List<ImmutableList<String>> rows = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param header column names
     */
    public Table(String... header) {
        this.header = ImmutableList.copyOf(header);
    }

    /**
     * Adds a row.
     *
     * @param cells one cell for each column
     * @return this table
     */
    public Table row(Object... cells) {
        if (cells.length != header.size()) {
            throw new IllegalArgumentException("expected " + header.size() + " cells but got " + cells.length);
        }
        ImmutableList.Builder<String> row = ImmutableList.builder();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row.build());
        return this;
    }

    /**
     * Returns whether the table has no rows.
     *
     * @return true if the table has no rows
     */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /**
     * Formats the table.
     *
     * @return the lines, without trailing spaces
     */
    public ImmutableList<String> lines() {
        int[] widths = widths();
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add(line(header, widths));
        rows.forEach(row -> lines.add(line(row, widths)));
        return lines.build();
    }

    /**
     * Prints the table.
     *
     * @param console where to print
     */
    public void print(Console console) {
        lines().forEach(console::print);
    }

    @Override
    public String toString() {
        return lines().stream().collect(Collectors.joining("\n"));
    }

    private int[] widths() {
        int[] widths = new int[header.size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = header.get(column).length();
            for (ImmutableList<String> row : rows) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }

    private static String line(ImmutableList<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            line.append(column == 0 ? "" : GAP);
            String cell = cells.get(column);
            line.append(cell).append(" ".repeat(widths[column] - cell.length()));
        }
        return line.toString().stripTrailing();
    }
}
