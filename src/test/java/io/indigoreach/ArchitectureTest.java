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

/** Checks the dependencies between packages and the restrictions on what each layer may use. */
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
    /** Names in messages that differ from the names in the code. Names that both use, such as cores, cannot be checked. */
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

    /** The packages of the core have no cyclic dependencies. */
    @Test
    void corePackagesHaveNoCycles() {
        slices().matching("io.indigoreach.core.(*)..").should().beFreeOfCycles().check(classes);
    }

    /** Only the classes themselves write the fields of Machine, Job, Placement and Cluster, so that every state transition is a named method. */
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

    /** The common package of the parts does not depend on any part, and no part depends on the package that registers the parts. */
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

    /** The emulator's model depends only on its inputs: it uses no sockets, files, threads, clocks or random numbers. */
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

    /** The node does not depend on the tools or their libraries. */
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
     * Nodes send no direct commands. A worker may execute an unanswered direct command much later, whereas heartbeat responses expire
     * within seconds; the safety rules rely on this.
     */
    @Test
    void nodesSendNoDirectCommands() throws IOException {
        Pattern direct = Pattern.compile(
                "\\b(DIRECT_COMMANDS_PATH|INSPECT_PATH|WorkerCodec\\.DirectCommands)\\b|\"/(do|inspect)\"");
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
                "source files that use direct commands, which only the codec and the emulated workers may");
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
