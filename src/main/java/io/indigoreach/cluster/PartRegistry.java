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
 * The optional features that a node can have. It belongs to the composition root of a node, so that the package
 * {@code parts}, on which every feature is built, refers to none of them.
 */
public final class PartRegistry {
    /** All optional features: a new one is added here, and nowhere else. */
    private static final List<Parts.Definition> KINDS = List.of(
            new Parts.Definition(Settings.Setting.CALENDAR, CalendarPart.FAMILIES, CalendarPart::new),
            new Parts.Definition(Settings.Setting.RECORD_OWNERSHIP, Registry.FAMILIES, OwnershipPart::new),
            new Parts.Definition(Settings.Setting.WARM_POOLS, PoolRecords.FAMILIES, WarmPart::new));

    private PartRegistry() {}

    /** The optional features that the settings enable. */
    public static List<Parts.Definition> enabled(Settings settings) {
        return KINDS.stream().filter(kind -> settings.get(kind.setting()) > 0).toList();
    }
}
