package io.indigoreach.cluster;

import io.indigoreach.calendar.CalendarPart;
import io.indigoreach.config.Settings;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.ownership.OwnershipPart;
import io.indigoreach.parts.Parts;
import io.indigoreach.warm.PoolRecords;
import io.indigoreach.warm.WarmPart;
import java.util.List;

/**
 * Lists the optional features of a node. It is in this package, which assembles the node, because {@code parts} must
 * not depend on any feature that is built on it.
 */
public final class FeatureRegistry {
    /** All optional features; a new feature is registered only here. */
    private static final List<Parts.Definition> FEATURES = List.of(
            new Parts.Definition(Settings.Setting.CALENDAR, CalendarPart.FAMILIES, CalendarPart::new),
            new Parts.Definition(Settings.Setting.RECORD_OWNERSHIP, Registry.FAMILIES, OwnershipPart::new),
            new Parts.Definition(Settings.Setting.WARM_POOLS, PoolRecords.FAMILIES, WarmPart::new));

    private FeatureRegistry() {}

    /** The optional features that the settings enable. */
    public static List<Parts.Definition> enabled(Settings settings) {
        return FEATURES.stream()
                .filter(kind -> settings.get(kind.setting()) > 0)
                .toList();
    }
}
