package io.indigoreach;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaFieldAccess;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The layers: what may use what. */
class ArchitectureTest {
    private static final String[] NODE_PACKAGES = {
        "io.indigoreach.core..",
        "io.indigoreach.state..",
        "io.indigoreach.cloud..",
        "io.indigoreach.worker..",
        "io.indigoreach.api..",
        "io.indigoreach.cluster..",
        "io.indigoreach.net..",
        "io.indigoreach.config..",
        "io.indigoreach.cli..",
        "io.indigoreach.parts..",
        "io.indigoreach.ownership..",
        "io.indigoreach.calendar..",
        "io.indigoreach.warm..",
        "io.indigoreach.accounts.."
    };
    private static final String[] TOOL_PACKAGES = {
        "io.indigoreach.emulator..",
        "io.indigoreach.scenario..",
        "io.indigoreach.checker..",
        "io.indigoreach.load..",
        "io.indigoreach.experiment..",
        "io.indigoreach.tools..",
        "io.indigoreach.store.."
    };
    /** The wire's own words, where the code has others. Words that both use, such as cores, tell nothing. */
    private static final Set<String> WIRE_ONLY_NAMES = Set.of(
            "baton",
            "hire",
            "permit",
            "shift",
            "boxes",
            "box",
            "boxkind",
            "boxkinds",
            "loaners",
            "hall",
            "halls",
            "pieces",
            "piece",
            "bundle",
            "pull_gb",
            "ledger_rev",
            "stamp",
            "foreman",
            "warning_s",
            "wind_down_s",
            "jobclass",
            "owner",
            "expected_s",
            "snapshot_s",
            "snapshot_every_s",
            "low_price",
            "held_s",
            "truncated",
            "verb",
            "reap",
            "kept",
            "in_use",
            "starts",
            "life_ms",
            "pulling",
            "exited",
            "orders");

    private static final Set<String> CODECS = Set.of(
            "JobCodec.java",
            "WorkerCodec.java",
            "CloudCodec.java",
            "StateCodec.java",
            "Rehearsal.java",
            "PeerProtocol.java");
    private static JavaClasses classes;

    @BeforeAll
    static void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("io.indigoreach");
    }

    @Test
    void coreHasNoInputOutputOrClock() {
        noClasses()
                .that()
                .resideInAPackage("io.indigoreach.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.vertx..",
                        "io.netty..",
                        "org.slf4j..",
                        "com.google..",
                        "org.msgpack..")
                .check(classes);
        noClasses()
                .that()
                .resideInAPackage("io.indigoreach.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.indigoreach.net..", "io.indigoreach.state..", "io.indigoreach.cluster..")
                .check(classes);
        noClasses()
                .that()
                .resideInAPackage("io.indigoreach.core..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .accessClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }

    /** The rooms of the core use what they rest on, and none of them the other way round too. */
    @Test
    void corePackagesHaveNoCycles() {
        slices().matching("io.indigoreach.core.(*)..").should().beFreeOfCycles().check(classes);
    }

    /** A machine, a job, a placement and the cluster change by their own methods alone, so that every transition has a name. */
    @Test
    void schedulingStateIsWrittenByItsOwnerOnly() {
        Set<String> owners = Set.of("Machine", "Job", "Placement", "Cluster");
        List<String> writes = classes.stream()
                .flatMap(c -> c.getFieldAccessesFromSelf().stream())
                .filter(access -> access.getAccessType() == JavaFieldAccess.AccessType.SET)
                .filter(access -> access.getTargetOwner().getPackageName().equals("io.indigoreach.core.scheduling"))
                .filter(access -> owners.contains(access.getTargetOwner().getSimpleName()))
                .filter(access -> !access.getOriginOwner().equals(access.getTargetOwner()))
                .map(JavaFieldAccess::getDescription)
                .toList();
        assertEquals(List.of(), writes);
    }

    /** What every part rests on names none of them, and no part names the composition root that does. */
    @Test
    void partsAndTheirRegistryAreDecoupled() {
        String[] parts = {"io.indigoreach.calendar..", "io.indigoreach.ownership..", "io.indigoreach.warm.."};
        noClasses()
                .that()
                .resideInAPackage("io.indigoreach.parts..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(parts)
                .check(classes);
        noClasses()
                .that()
                .resideInAnyPackage(parts)
                .should()
                .dependOnClassesThat()
                .resideInAPackage("io.indigoreach.cluster..")
                .check(classes);
    }

    /** The emulator's model decides by what it is told: no sockets, files, threads or clocks. */
    @Test
    void emulatorModelHasNoInputOutputClockOrRandomness() {
        noClasses()
                .that()
                .resideInAPackage("io.indigoreach.emulator.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.vertx..",
                        "io.netty..",
                        "org.slf4j..")
                .check(classes);
        noClasses()
                .that()
                .resideInAPackage("io.indigoreach.emulator.model..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(classes);
    }

    /** A node carries nothing that it does not need. */
    @Test
    void nodeDoesNotDependOnTools() {
        noClasses()
                .that()
                .resideInAnyPackage(NODE_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(TOOL_PACKAGES)
                .check(classes);
        noClasses()
                .that()
                .resideInAnyPackage(NODE_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("picocli..", "org.HdrHistogram..", "ch.qos.logback..")
                .check(classes);
    }

    /**
     * A direct command without an answer may be carried out much later, while answers to reports are dropped after seconds: the rules
     * rest on no node sending any.
     */
    @Test
    void nodesSendNoDirectCommands() throws IOException {
        Pattern direct = Pattern.compile("\\b(DIRECT|INSPECT|WorkerCodec\\.Direct)\\b|\"/(do|inspect)\"");
        List<String> violations = new ArrayList<>();
        try (var walk = Files.walk(Path.of("src/main/java"))) {
            for (Path path : walk.filter(f -> f.toString().endsWith(".java")).toList()) {
                if (direct.matcher(Files.readString(path)).find()) {
                    violations.add(path.getFileName().toString());
                }
            }
        }
        violations.sort(null);
        assertEquals(
                List.of("WorkerCodec.java", "WorkerModel.java", "WorkerPool.java"),
                violations,
                "beside the emulated workers");
    }

    @Test
    void wireNamesOccurOnlyInCodecs() throws IOException {
        Pattern literal = Pattern.compile("\"([a-z_]+)\"");
        List<String> violations = new ArrayList<>();
        int files = 0;
        try (var walk = Files.walk(Path.of("src/main/java"))) {
            for (Path path : walk.filter(f -> f.toString().endsWith(".java")).toList()) {
                files++;
                Matcher matcher = literal.matcher(Files.readString(path));
                while (matcher.find()) {
                    if (WIRE_ONLY_NAMES.contains(matcher.group(1))
                            && !CODECS.contains(path.getFileName().toString())) {
                        violations.add(path.getFileName() + ": " + matcher.group(1));
                    }
                }
            }
        }
        assertEquals(List.of(), violations);
        assertTrue(files > 100);
    }
}
