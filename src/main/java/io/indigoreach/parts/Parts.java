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

/** The optional parts of a node that the settings enable. */
public final class Parts {
    /** The dependencies of a part's constructor. */
    public record Environment(
            Vertx vertx,
            SteadyClock clock,
            RoutineRunner recordRoutines,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {}

    /**
     * Describes a part that a setting enables.
     *
     * @param setting the setting that enables the part if it is 1
     * @param recordFamilies the families of records that the part stores
     * @param factory creates the part
     */
    public record Definition(
            Settings.Setting setting, List<RecordFamily> recordFamilies, Function<Environment, Part> factory) {}

    /** No parts. */
    public static final Parts NONE = new Parts(List.of(), new RecordCache(List.of()), null);

    private final List<Part> all;
    private final RecordCache recordCache;
    private final RoutineRunner recordRoutines;

    private Parts(List<Part> parts, RecordCache recordCache, RoutineRunner recordRoutines) {
        this.all = parts;
        this.recordCache = recordCache;
        this.recordRoutines = recordRoutines;
    }

    /** Creates the parts of these definitions. */
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

    /** Returns the parts, in the order of their definitions. */
    public List<Part> all() {
        return all;
    }

    /** Returns the runner of routines on the parts' records. */
    public RoutineRunner recordRoutines() {
        return recordRoutines;
    }

    /** Returns this node's cache of the parts' records. */
    public RecordCache recordCache() {
        return recordCache;
    }

    /** Returns the HTTP resources by the names of their parts. */
    public Map<String, Resource> resources() {
        return all.stream().collect(Collectors.toMap(Part::name, Part::resource));
    }

    /** Returns the participants in job submissions. */
    public List<SubmissionParticipant> submissionParticipants() {
        return all.stream()
                .map(Part::submissionParticipant)
                .filter(Objects::nonNull)
                .toList();
    }
}
