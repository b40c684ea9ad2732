package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that every class named in the developers' pages exists in the sources, as a file or as a nested type. */
class ArchitecturePageTest {
    private static final String ROOT = "io.indigoreach.";
    private static final Path MAIN = Path.of("src", "main", "java");
    private static final Path TEST = Path.of("src", "test", "java");
    private static final Pattern BLOCK = Pattern.compile("(?ms)^```(\\w*)\\n(.*?)^```$");
    private static final Pattern QUOTED = Pattern.compile("`([^`\\n]+)`");
    /** A class name, qualified or simple, possibly nested. Names in capitals only, such as a status, are filtered out later. */
    private static final Pattern CLASS = Pattern.compile("(?:[a-z][a-z0-9]*\\.)*[A-Z]\\w*(?:\\.[A-Z]\\w*)*");

    private static final Pattern CAMEL_CASE_CLASS = Pattern.compile("\\b[A-Z][a-z0-9]+[A-Z]\\w*\\b");
    private static final Pattern DECLARED =
            Pattern.compile("(?m)^ *(?:(?:public|protected|private|static|final|abstract|"
                    + "sealed|non-sealed) +)*(?:class|record|interface|enum) +([A-Z]\\w*)");

    /** Returns every type under a directory, such as {@code core.Job}, or {@code core.Outer.Inner} if it is nested. */
    private static Set<String> types(Path root) throws IOException {
        Set<String> types = new TreeSet<>();
        try (Stream<Path> files = Files.walk(root)) {
            files.filter(f -> f.toString().endsWith(".java")).forEach(file -> {
                String path = root.relativize(file).toString();
                String name = path.substring(0, path.length() - ".java".length())
                        .replace(file.getFileSystem().getSeparator(), ".");
                String topLevel = name.startsWith(ROOT) ? name.substring(ROOT.length()) : name;
                types.add(topLevel);
                Matcher nested = DECLARED.matcher(read(file));
                while (nested.find()) {
                    if (!topLevel.endsWith("." + nested.group(1)) && !topLevel.equals(nested.group(1))) {
                        types.add(topLevel + "." + nested.group(1));
                    }
                }
            });
        }
        return types;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the classes that a page names in diagrams and in back ticks, in order of appearance within each. */
    private static List<String> classesNamedOn(String page) {
        List<String> names = new ArrayList<>();
        Matcher block = BLOCK.matcher(page);
        StringBuilder text = new StringBuilder();
        while (block.find()) {
            if (block.group(1).equals("mermaid")) {
                Matcher word = CAMEL_CASE_CLASS.matcher(block.group(2));
                while (word.find()) {
                    names.add(word.group());
                }
            }
            block.appendReplacement(text, "");
        }
        block.appendTail(text);
        Matcher quoted = QUOTED.matcher(text);
        while (quoted.find()) {
            String name = quoted.group(1);
            if (CLASS.matcher(name).matches()
                    && name.chars().skip(name.lastIndexOf('.') + 1).anyMatch(Character::isLowerCase)) {
                names.add(name.startsWith(ROOT) ? name.substring(ROOT.length()) : name);
            }
        }
        return names;
    }

    private static boolean containsClass(Set<String> types, String name) {
        return types.contains(name)
                || (Character.isUpperCase(name.charAt(0)) && types.stream().anyMatch(t -> t.endsWith("." + name)));
    }

    private static Set<String> missing(String page) throws IOException {
        Set<String> types = types(MAIN);
        types.addAll(types(TEST));
        Set<String> missing = new LinkedHashSet<>();
        for (String name : classesNamedOn(page)) {
            if (!containsClass(types, name)) {
                missing.add(name);
            }
        }
        return missing;
    }

    @ParameterizedTest
    @ValueSource(strings = {"ARCHITECTURE.md", "GLOSSARY.md", "DESIGN.md"})
    void pageNamesOnlyExistingClasses(String page) throws IOException {
        String text = Files.readString(Path.of("docs", page));
        assertTrue(classesNamedOn(text).size() > 40, () -> page + " names " + classesNamedOn(text));
        assertEquals(Set.of(), missing(text), page + " names classes that do not exist");
    }

    @Test
    void unknownClassNamesAreDetected() throws IOException {
        String page = """
                `net.NoSuchTask` and `ArchitecturePageTest`, `core.ArchitecturePageTest`, `POST /do`, `DONE`, `Retry-After`
                ```mermaid
                participant A as NoSuchEndpoint
                ```
                `net.Endpoint.Gone`, `state.StateClient.Txn`, `Txn`
                    NoSuchText
                ```
                `NoSuchCode`
                ```
                """;
        assertEquals(
                Set.of("NoSuchEndpoint", "net.NoSuchTask", "core.ArchitecturePageTest", "net.Endpoint.Gone"),
                missing(page));
    }

    /** The first mention of a class on the page includes its package. */
    @Test
    void firstMentionsAreQualified() throws IOException {
        Set<String> seen = new LinkedHashSet<>();
        Set<String> unqualified = new LinkedHashSet<>();
        Set<String> tests = types(TEST);
        String text = BLOCK.matcher(Files.readString(Path.of("docs", "ARCHITECTURE.md")))
                .replaceAll("");
        for (String name : classesNamedOn(text)) {
            String simple = name.substring(name.lastIndexOf('.') + 1);
            boolean isQualified = Character.isLowerCase(name.charAt(0)) || containsClass(tests, name);
            if (seen.add(simple) && !isQualified) {
                unqualified.add(name);
            }
        }
        assertEquals(Set.of(), unqualified);
    }
}
