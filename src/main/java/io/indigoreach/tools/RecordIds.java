package io.indigoreach.tools;

import io.indigoreach.core.ownership.RecordId;
import io.indigoreach.ownership.OwnershipPart;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Ids from the command line, from a file, or a range. */
final class RecordIds {
    /** A request takes 400; fences are longer than ids. */
    private static final int AT_ONCE = 300;

    @Parameters(arity = "0..*", paramLabel = "ID", description = "records")
    private List<String> ids = new ArrayList<>();

    @Option(names = "--file", description = "a record a line, as first word; - is standard input")
    private Path file;

    @Option(
            names = "--range",
            arity = "3",
            paramLabel = "PREFIX FROM TO",
            description = "PREFIXn for these numbers",
            hideParamSyntax = true)
    private List<String> range;

    /** Lines cut at spaces. */
    List<String[]> lines() throws IOException {
        List<String[]> lines = new ArrayList<>();
        ids.forEach(id -> lines.add(id.split("=")));
        if (range != null) {
            for (long n = Long.parseLong(range.get(1)); n <= Long.parseLong(range.get(2)); n++) {
                lines.add(new String[] {range.get(0) + n});
            }
        }
        if (file != null) {
            List<String> read = file.toString().equals("-")
                    ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                            .lines()
                            .toList()
                    : Files.readAllLines(file);
            read.stream()
                    .filter(l -> !l.isBlank())
                    .forEach(l -> lines.add(l.trim().split("\\s+")));
        }
        return lines;
    }

    /** Parts that a request takes, in the order of the registry's pages. */
    List<List<String[]>> parts() throws IOException {
        List<String[]> all = lines();
        if (all.isEmpty()) {
            throw new Failure(Tool.USAGE, "no records: name them, or --file, or --range");
        }
        Comparator<RecordId> order = OwnershipPart.registry().order();
        all.stream().filter(l -> !RecordId.isValid(l[0])).findFirst().ifPresent(l -> {
            throw new Failure(Tool.WRONG, l[0] + ": not a record's id");
        });
        all.sort((a, b) -> order.compare(new RecordId(a[0]), new RecordId(b[0])));
        List<List<String[]>> parts = new ArrayList<>();
        for (int from = 0; from < all.size(); from += AT_ONCE) {
            parts.add(all.subList(from, Math.min(all.size(), from + AT_ONCE)));
        }
        return parts;
    }

    /** The ids alone. */
    static List<Object> first(List<String[]> lines) {
        return new ArrayList<>(lines.stream().map(l -> l[0]).toList());
    }
}
