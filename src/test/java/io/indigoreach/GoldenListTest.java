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
 * Checks that every class that writes messages or records has golden cases. The lists here contain names of source files without
 * their packages. If a class is renamed, its entry here changes, but its golden cases do not.
 */
class GoldenListTest {
    private static final Path SOURCES = Path.of("src", "main", "java");
    /** Matches code that builds a message, a record or a line of JSON. */
    private static final Pattern SERIALISES = Pattern.compile("\\bMessagePackFormat\\.map\\(|\\bnew JsonObject\\(");

    /** For each source file, the golden files and the prefixes of its cases in them. */
    private static final Map<String, Set<String>> GOLDEN = new LinkedHashMap<>();

    private static void golden(String source, String... cases) {
        GOLDEN.put(source, Set.of(cases));
    }

    static {
        golden("JobCodec.java", "users.txt#submission ", "users.txt#accepted", "users.txt#progress");
        golden("ApiResponse.java", "users.txt#answer ", "users-http.txt#");
        golden("RequestRejectedException.java", "users.txt#answer refusal");
        golden("WorkerCodec.java", "workers.txt#report", "workers.txt#answer", "workers.txt#direct");
        golden("CloudCodec.java", "cloud.txt#types", "cloud.txt#rental", "cloud.txt#names", "cloud.txt#page");
        golden(
                "StateCodec.java",
                "state-service.txt#entry",
                "state-service.txt#transaction",
                "state-service.txt#changes");
        golden("JobRecordCodec.java", "records.txt#job", "records.txt#end");
        golden("CompletionBlockCodec.java", "records.txt#block");
        golden("IntentRecordCodec.java", "records.txt#intents");
        golden("MachineRecordCodec.java", "records.txt#page of machines");
        golden("CatalogueRecordCodec.java", "records.txt#catalogue");
        golden("EraRecordCodec.java", "records.txt#era");
        golden("DependencyCodec.java", "records.txt#job chained", "records.txt#job released from its chain");
        golden("RememberedStateCodec.java", "records.txt#memory");
        golden("CounterRecord.java", "records.txt#counter");
        golden("FormatGate.java", "records.txt#format that a node knows");
        golden("LeaderKey.java", "records.txt#leader");
        golden("FinalRecord.java", "records.txt#end");
        golden("JobRecord.java", "records.txt#job");
        golden("MachineRecord.java", "records.txt#page of machines");
        golden("CompletionBits.java", "records.txt#blocks of values");
        golden("PeerPromises.java", "pledges.txt#question", "pledges.txt#pledge");
        golden(
                "PeerProtocol.java",
                "peers.txt#standing",
                "peers.txt#pledge",
                "peers.txt#a job recalled",
                "peers-asked.txt#/");
        golden("CalendarCodec.java", "calendar.txt#calendar");
        golden("CalendarResource.java", "calendar.txt#answer ");
        golden("RunTimes.java", "calendar.txt#run times");
        golden("DayPage.java", "calendar.txt#page of state");
        golden("Mark.java", "calendar.txt#page of state");
        golden("CalendarVersion.java", "calendar.txt#calendar cal/head/");
        golden("Publishing.java", "calendar.txt#text cal/text/");
        golden("RecordsCodec.java", "ownership-words.txt#outcome", "ownership-words.txt#shown");
        golden("OwnershipService.java", "ownership-http.txt#");
        golden("Page.java", "ownership-records.txt#claimed, own/p/");
        golden("Claim.java", "ownership-records.txt#claimed, own/c/");
        golden("Registry.java", "ownership-records.txt#begun, own/r/");
        golden("PoolCodec.java", "pools.txt#pool", "pools.txt#sheet", "pools.txt#told", "pools.txt#seen");
        golden("PoolsResource.java", "pools-http.txt#");
        golden("DepotCodec.java", "depot.txt#upload", "depot.txt#summary");
        golden("DiskDurability.java", "disk.txt#writes", "disk.txt#lease");
        golden("PlatformConfig.java", "settings.txt#platform's file", "settings.txt#wrong");
        golden("ClusterFile.java", "forms.txt#cluster, written");
        golden("PoolFile.java", "forms.txt#pool, as sent");
        golden("CalendarVerb.java", "verbs.txt#calendar");
        golden("DutiesVerb.java", "verbs.txt#duties");
        golden("JobsVerb.java", "verbs.txt#jobs");
        golden("Lines.java", "verbs.txt#status");
        golden("MachinesVerb.java", "verbs.txt#machines");
        golden("PoolsVerb.java", "verbs.txt#pools");
        golden("RecordsAction.java", "verbs.txt#records claim");
        golden("RecordsAuthor.java", "verbs.txt#records begin");
        golden("RecordsBiller.java", "verbs.txt#records billing");
        golden("RecordsBilling.java", "verbs.txt#records billed");
        golden("RecordsDecisions.java", "verbs.txt#records resolve");
        golden("RecordsQuestions.java", "verbs.txt#records holders");
    }

    /** Source files without golden cases, with the reasons. They emulate other processes, or only their writer reads the output. Codecs are not permitted. */
    private static final Map<String, String> WITHOUT = Map.ofEntries(
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
    void whateverSerialisesHasGoldenCases() throws IOException {
        Set<String> lacking = new TreeSet<>();
        sources().forEach((name, text) -> {
            boolean isExcused = !isCodec(name) && WITHOUT.containsKey(name);
            if ((isCodec(name) || SERIALISES.matcher(text).find()) && !GOLDEN.containsKey(name) && !isExcused) {
                lacking.add(name);
            }
        });
        assertEquals(Set.of(), lacking, "without golden cases");
    }

    @Test
    void whatIsListedIsThere() throws IOException {
        Set<String> listed = new TreeSet<>(GOLDEN.keySet());
        listed.addAll(WITHOUT.keySet());
        listed.removeAll(sources().keySet());
        assertEquals(Set.of(), listed, "no source file of this name");
        GOLDEN.forEach((source, all) -> all.forEach(cases -> {
            String[] at = cases.split("#", -1);
            Set<String> names = GoldenFile.load(at[0]).keySet();
            assertTrue(names.stream().anyMatch(n -> n.startsWith(at[1])), source + " has no case " + cases);
        }));
    }

    @Test
    void everyGoldenFileIsOfSomethingListed() throws IOException {
        Set<String> used = new HashSet<>();
        GOLDEN.values().forEach(all -> all.forEach(cases -> used.add(cases.split("#", -1)[0])));
        try (Stream<Path> files = Files.list(GoldenFile.DIRECTORY)) {
            List<String> there =
                    files.map(f -> f.getFileName().toString()).sorted().toList();
            assertFalse(there.isEmpty());
            assertEquals(List.copyOf(new TreeSet<>(used)), there);
        }
    }
}
