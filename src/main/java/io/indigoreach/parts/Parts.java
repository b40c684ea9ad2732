package io.indigoreach.parts;

import io.indigoreach.api.Joining;
import io.indigoreach.api.Resource;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.records.Copies;
import io.indigoreach.core.records.Family;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.Records;
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
    public record Ground(
            Vertx vertx,
            SteadyClock clock,
            Records records,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {}

    /**
     * A part that can be switched on.
     *
     * @param knob the setting that does, by being 1
     * @param families its records
     */
    public record Kind(Settings.Knob knob, List<Family> families, Function<Ground, Part> maker) {}

    public static final Parts NONE = new Parts(List.of(), new Copies(List.of()), null);

    private final List<Part> all;
    private final Copies copies;
    private final Records records;

    private Parts(List<Part> all, Copies copies, Records records) {
        this.all = all;
        this.copies = copies;
        this.records = records;
    }

    /** Of these kinds. */
    public static Parts of(
            List<Kind> kinds,
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            Catalogue catalogue,
            PlatformConfig config,
            Settings settings) {
        Copies copies =
                new Copies(kinds.stream().flatMap(k -> k.families().stream()).toList());
        Records records = new Records(vertx, state, clock, copies);
        Ground ground = new Ground(vertx, clock, records, catalogue, config, settings);
        return new Parts(kinds.stream().map(k -> k.maker().apply(ground)).toList(), copies, records);
    }

    public List<Part> all() {
        return all;
    }

    public Records records() {
        return records;
    }

    /** What this node remembers of their records. */
    public Copies copies() {
        return copies;
    }

    public Map<String, Resource> resources() {
        return all.stream().collect(Collectors.toMap(Part::name, Part::resource));
    }

    public List<Joining> joinings() {
        return all.stream().map(Part::joining).filter(Objects::nonNull).toList();
    }
}
