package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that every name in {@code outward-names.txt} still leaves the process. Other programs and stored data depend on these names. */
class OutwardNamesTest {
    private static final Path LIST = Path.of("src", "test", "resources", "outward-names.txt");
    private static final Path SOURCES = Path.of("src", "main", "java");
    private static final Path RESOURCES = Path.of("src", "main", "resources");
    private static final Path GOLDEN = Path.of("src", "test", "resources", "golden");
    private static final Path DEPLOY = Path.of("deploy");

    private static final String SECTION = "# in: ";
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\\\n]|\\\\.)*)\"");
    /** Messages and records in a golden file. */
    private static final Pattern HEX = Pattern.compile("\\b(?:[0-9a-f]{2}){4,}\\b");

    private static final Pattern ENUM = Pattern.compile("\\benum +\\w+");
    private static final Pattern CONSTANT = Pattern.compile("(?m)^ *([A-Z][A-Z_]*) *(?=[(,;{]|$)");

    /** The names that are searched for in the same place. */
    private record Section(String place, List<String> names) {}

    private static List<Section> readSections() throws IOException {
        List<Section> sections = new ArrayList<>();
        for (String line : Files.readAllLines(LIST)) {
            if (line.startsWith(SECTION)) {
                String place = line.substring(SECTION.length()).split(" ")[0];
                sections.add(new Section(place, new ArrayList<>()));
            } else if (!line.isBlank() && !line.startsWith("#")) {
                sections.get(sections.size() - 1).names().add(line);
            }
        }
        return sections;
    }

    private static List<String> readFiles(Path directory, String ending) throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            List<String> texts = new ArrayList<>();
            for (Path path : paths.filter(
                            p -> Files.isRegularFile(p) && p.toString().endsWith(ending))
                    .sorted()
                    .toList()) {
                texts.add(Files.readString(path));
            }
            return texts;
        }
    }

    private static String literalText() throws IOException {
        String sources = String.join("\n", readFiles(SOURCES, ".java"));
        return LITERAL.matcher(sources).results().map(found -> found.group(1)).collect(Collectors.joining("\n"))
                + String.join("\n", readFiles(RESOURCES, ""));
    }

    /** Returns the text of the golden files, with hex bytes decoded. */
    private static String goldenText() throws IOException {
        String text = String.join("\n", readFiles(GOLDEN, ".txt")).replace("\\n", "\n");
        return text + "\n" + HEX.matcher(text).replaceAll(found -> Matcher.quoteReplacement(decodeHex(found.group())));
    }

    private static String decodeHex(String hex) {
        return new String(HexFormat.of().parseHex(hex), StandardCharsets.ISO_8859_1);
    }

    private static Set<String> missing(List<String> names, String text) {
        Set<String> missing = new LinkedHashSet<>();
        for (String name : names) {
            Pattern word = Pattern.compile("(?<![\\w-])" + Pattern.quote(name) + "(?![\\w-])");
            if (!word.matcher(text).find()) {
                missing.add(name);
            }
        }
        return missing;
    }

    /** Returns the constants that are missing from the enum that declares the most of them; one enum must declare them all. */
    private static Set<String> missingConstants(List<String> names) throws IOException {
        Set<String> fewestMissing = new LinkedHashSet<>(names);
        for (String source : readFiles(SOURCES, ".java")) {
            Set<String> declared = new HashSet<>();
            if (ENUM.matcher(source).find()) {
                CONSTANT.matcher(source).results().forEach(found -> declared.add(found.group(1)));
            }
            Set<String> missing = new LinkedHashSet<>(names);
            missing.removeAll(declared);
            if (missing.size() < fewestMissing.size()) {
                fewestMissing = missing;
            }
        }
        return fewestMissing;
    }

    private static Set<String> missing(Section section) throws IOException {
        return switch (section.place()) {
            case "literals" -> missing(section.names(), literalText());
            case "golden" -> missing(section.names(), goldenText());
            case "deploy" -> missing(section.names(), String.join("\n", readFiles(DEPLOY, ".toml")));
            case "enum" -> missingConstants(section.names());
            default -> throw new IllegalArgumentException("unknown place: " + section.place());
        };
    }

    @Test
    void everyListedNameOccurs() throws IOException {
        List<String> missing = new ArrayList<>();
        for (Section section : readSections()) {
            missing(section).forEach(name -> missing.add(section.place() + ": " + name));
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void unknownNamesAreReportedMissing() throws IOException {
        List<String> unknown = List.of("no_such_name");
        for (String place : List.of("literals", "golden", "deploy", "enum")) {
            assertEquals(Set.copyOf(unknown), missing(new Section(place, unknown)), place);
        }
    }

    @Test
    void noSectionIsEmpty() throws IOException {
        List<Section> sections = readSections();
        assertTrue(sections.size() > 1);
        sections.forEach(section -> assertFalse(section.names().isEmpty(), section.place()));
    }
}
