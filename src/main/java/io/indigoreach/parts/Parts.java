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
            RoutineRunner records,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {}

    /**
     * Describes a part that a setting enables.
     *
     * @param knob the setting that enables the part if it is 1
     * @param families the families of records that the part stores
     * @param maker creates the part
     */
    public record Kind(Settings.Setting knob, List<RecordFamily> families, Function<Environment, Part> maker) {}

    /** No parts. */
    public static final Parts NONE = new Parts(List.of(), new RecordCache(List.of()), null);

    private final List<Part> all;
    private final RecordCache copies;
    private final RoutineRunner records;

    private Parts(List<Part> all, RecordCache copies, RoutineRunner records) {
        this.all = all;
        this.copies = copies;
        this.records = records;
    }

    /** Creates the parts of these kinds. */
    public static Parts of(
            List<Kind> kinds,
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {
        RecordCache copies = new RecordCache(
                kinds.stream().flatMap(k -> k.families().stream()).toList());
        RoutineRunner records = new RoutineRunner(vertx, state, clock, copies);
        Environment ground = new Environment(vertx, clock, records, catalogue, config, settings);
        return new Parts(kinds.stream().map(k -> k.maker().apply(ground)).toList(), copies, records);
    }

    /** Returns the parts, in the order of their kinds. */
    public List<Part> all() {
        return all;
    }

    /** Returns the runner of routines on the parts' records. */
    public RoutineRunner records() {
        return records;
    }

    /** Returns this node's cache of the parts' records. */
    public RecordCache copies() {
        return copies;
    }

    /** Returns the HTTP resources by the names of their parts. */
    public Map<String, Resource> resources() {
        return all.stream().collect(Collectors.toMap(Part::name, Part::resource));
    }

    /** Returns the participants in job submissions. */
    public List<SubmissionParticipant> joinings() {
        return all.stream().map(Part::joining).filter(Objects::nonNull).toList();
    }
}
