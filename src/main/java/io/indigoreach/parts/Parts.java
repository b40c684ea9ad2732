package io.indigoreach.parts;

import io.indigoreach.api.Resource;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.RoutineRunner;
import io.indigoreach.state.StateClient;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The parts of a node beside the jobs: those that the settings switch on. */
public final class Parts {
    /** What a part is built from. */
    public record Environment(
            Vertx vertx,
            SteadyClock clock,
            RoutineRunner recordRoutines,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {}

    /**
     * A part that can be switched on.
     *
     * @param knob the setting that does, by being 1
     * @param families its records
     */
    public record Definition(
            Settings.Setting setting, List<RecordFamily> recordFamilies, Function<Environment, Part> factory) {}

    public static final Parts NONE = new Parts(List.of(), new RecordCache(List.of()), null);

    private final List<Part> all;
    private final RecordCache recordCache;
    private final RoutineRunner recordRoutines;

    private Parts(List<Part> parts, RecordCache recordCache, RoutineRunner recordRoutines) {
        this.all = parts;
        this.recordCache = recordCache;
        this.recordRoutines = recordRoutines;
    }

    /** Of these kinds. */
    public static Parts of(
            List<Definition> definitions,
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {
        RecordCache recordCache = new RecordCache(
                definitions.stream().flatMap(k -> k.recordFamilies().stream()).toList());
        RoutineRunner recordRoutines = new RoutineRunner(vertx, state, clock, recordCache);
        Environment environment = new Environment(vertx, clock, recordRoutines, catalogue, config, settings);
        return new Parts(
                definitions.stream().map(k -> k.factory().apply(environment)).toList(), recordCache, recordRoutines);
    }

    public List<Part> all() {
        return all;
    }

    public RoutineRunner recordRoutines() {
        return recordRoutines;
    }

    /** What this node remembers of their records. */
    public RecordCache recordCache() {
        return recordCache;
    }

    public Map<String, Resource> resources() {
        return all.stream().collect(Collectors.toMap(Part::name, Part::resource));
    }

    public List<SubmissionParticipant> submissionParticipants() {
        return all.stream()
                .map(Part::submissionParticipant)
                .filter(Objects::nonNull)
                .toList();
    }
}
