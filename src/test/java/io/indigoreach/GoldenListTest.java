package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that every class that writes messages or records has golden cases. The lists here contain names of source
 * files without their packages. If a class is renamed, its entry here must be updated; its golden cases stay as they
 * are.
 */
class GoldenListTest {
    private static final Path SOURCES = Path.of("src", "main", "java");
    /** Matches code that builds a message, a record or a line of JSON. */
    private static final Pattern SERIALISATION = Pattern.compile("\\bMessagePackFormat\\.map\\(|\\bnew JsonObject\\(");

    /** For each source file, the golden files and the prefixes of its cases in them. */
    private static final Map<String, Set<String>> CASES_BY_SOURCE = new LinkedHashMap<>();

    private static void addCases(String source, String... casePrefixes) {
        CASES_BY_SOURCE.put(source, Set.of(casePrefixes));
    }

    static {
        addCases("JobCodec.java", "users.txt#submission ", "users.txt#accepted", "users.txt#progress");
        addCases("ApiResponse.java", "users.txt#answer ", "users-http.txt#");
        addCases("RequestRejectedException.java", "users.txt#answer refusal");
        addCases("WorkerCodec.java", "workers.txt#report", "workers.txt#answer", "workers.txt#direct");
        addCases("CloudCodec.java", "cloud.txt#types", "cloud.txt#rental", "cloud.txt#names", "cloud.txt#page");
        addCases(
                "StateCodec.java",
                "state-service.txt#entry",
                "state-service.txt#transaction",
                "state-service.txt#changes");
        addCases("JobRecordCodec.java", "records.txt#job", "records.txt#end");
        addCases("CompletionBlockCodec.java", "records.txt#block");
        addCases("IntentRecordCodec.java", "records.txt#intents");
        addCases("MachineRecordCodec.java", "records.txt#page of machines");
        addCases("CatalogueRecordCodec.java", "records.txt#catalogue");
        addCases("EraRecordCodec.java", "records.txt#era");
        addCases("DependencyCodec.java", "records.txt#job chained", "records.txt#job released from its chain");
        addCases("RememberedStateCodec.java", "records.txt#memory");
        addCases("CounterRecord.java", "records.txt#counter");
        addCases("FormatGate.java", "records.txt#format that a node knows");
        addCases("LeaderKey.java", "records.txt#leader");
        addCases("FinalRecord.java", "records.txt#end");
        addCases("JobRecord.java", "records.txt#job");
        addCases("MachineRecord.java", "records.txt#page of machines");
        addCases("CompletionBits.java", "records.txt#blocks of values");
        addCases("PledgeResponse.java", "pledges.txt#question", "pledges.txt#pledge");
        addCases(
                "PeerProtocol.java",
                "peers.txt#standing",
                "peers.txt#pledge",
                "peers.txt#a job recalled",
                "peers-asked.txt#/");
        addCases("CalendarCodec.java", "calendar.txt#calendar");
        addCases("CalendarResource.java", "calendar.txt#answer ");
        addCases("RunTimes.java", "calendar.txt#run times");
        addCases("DayPage.java", "calendar.txt#page of state");
        addCases("Mark.java", "calendar.txt#page of state");
        addCases("CalendarVersion.java", "calendar.txt#calendar cal/head/");
        addCases("Publishing.java", "calendar.txt#text cal/text/");
        addCases("RecordsCodec.java", "ownership-words.txt#outcome", "ownership-words.txt#shown");
        addCases("OwnershipService.java", "ownership-http.txt#");
        addCases("Page.java", "ownership-records.txt#claimed, own/p/");
        addCases("Claim.java", "ownership-records.txt#claimed, own/c/");
        addCases("Registry.java", "ownership-records.txt#begun, own/r/");
        addCases("PoolCodec.java", "pools.txt#pool", "pools.txt#sheet", "pools.txt#told", "pools.txt#seen");
        addCases("PoolsResource.java", "pools-http.txt#");
        addCases("DepotCodec.java", "depot.txt#upload", "depot.txt#summary");
        addCases("DiskDurability.java", "disk.txt#writes", "disk.txt#lease");
        addCases("PlatformConfig.java", "settings.txt#platform's file", "settings.txt#wrong");
        addCases("ClusterFile.java", "forms.txt#cluster, written");
        addCases("PoolFile.java", "forms.txt#pool, as sent");
        addCases("CalendarVerb.java", "verbs.txt#calendar");
        addCases("DutiesVerb.java", "verbs.txt#duties");
        addCases("JobsVerb.java", "verbs.txt#jobs");
        addCases("Lines.java", "verbs.txt#status");
        addCases("MachinesVerb.java", "verbs.txt#machines");
        addCases("PoolsVerb.java", "verbs.txt#pools");
        addCases("RecordsAction.java", "verbs.txt#records claim");
        addCases("RecordsAuthor.java", "verbs.txt#records begin");
        addCases("RecordsBiller.java", "verbs.txt#records billing");
        addCases("RecordsBilling.java", "verbs.txt#records billed");
        addCases("RecordsDecisions.java", "verbs.txt#records resolve");
        addCases("RecordsQuestions.java", "verbs.txt#records holders");
    }

    /**
     * Source files that need no golden cases, with the reason: they emulate other processes, or no other process reads
     * their output. A codec must not be listed here.
     */
    private static final Map<String, String> EXEMPT = Map.ofEntries(
            Map.entry("MessagePackFormat.java", "encodes any map"),
            Map.entry("Rehearsal.java", "a mock that only the build uses"),
            Map.entry("GatedListener.java", "errors of the emulator's listeners"),
            Map.entry("CloudServer.java", "errors of the emulated cloud"),
            Map.entry("CloudModel.java", "errors of the emulated cloud"),
            Map.entry("StateServer.java", "errors of the emulated state service"),
            Map.entry("StateModel.java", "errors of the emulated state service"),
            Map.entry("WorkerPool.java", "errors of emulated workers"),
            Map.entry("Emulator.java", "errors of the depot"),
            Map.entry("Measurements.java", "requests of measurements"),
            Map.entry("Report.java", "an experiment's report, with measured values"));

    /** Returns the text of each source file by file name. */
    private static Map<String, String> sources() throws IOException {
        Map<String, String> sources = new TreeMap<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                sources.merge(file.getFileName().toString(), Files.readString(file), String::concat);
            }
        }
        return sources;
    }

    private static boolean isCodec(String source) {
        return source.endsWith("Codec.java");
    }

    @Test
    void everySerialisingClassHasGoldenCases() throws IOException {
        Set<String> sourcesWithoutCases = new TreeSet<>();
        sources().forEach((name, text) -> {
            boolean isExempt = !isCodec(name) && EXEMPT.containsKey(name);
            if ((isCodec(name) || SERIALISATION.matcher(text).find())
                    && !CASES_BY_SOURCE.containsKey(name)
                    && !isExempt) {
                sourcesWithoutCases.add(name);
            }
        });
        assertEquals(Set.of(), sourcesWithoutCases, "without golden cases");
    }

    @Test
    void listedSourcesAndCasesExist() throws IOException {
        Set<String> listed = new TreeSet<>(CASES_BY_SOURCE.keySet());
        listed.addAll(EXEMPT.keySet());
        listed.removeAll(sources().keySet());
        assertEquals(Set.of(), listed, "no source file of this name");
        CASES_BY_SOURCE.forEach((source, all) -> all.forEach(cases -> {
            String[] fileAndPrefix = cases.split("#", -1);
            Set<String> names = GoldenFile.load(fileAndPrefix[0]).keySet();
            assertTrue(names.stream().anyMatch(n -> n.startsWith(fileAndPrefix[1])), source + " has no case " + cases);
        }));
    }

    @Test
    void everyGoldenFileBelongsToAListedSource() throws IOException {
        Set<String> listed = new HashSet<>();
        CASES_BY_SOURCE.values().forEach(all -> all.forEach(cases -> listed.add(cases.split("#", -1)[0])));
        try (Stream<Path> files = Files.list(GoldenFile.DIRECTORY)) {
            List<String> existing =
                    files.map(f -> f.getFileName().toString()).sorted().toList();
            assertFalse(existing.isEmpty());
            assertEquals(List.copyOf(new TreeSet<>(listed)), existing);
        }
    }
}
