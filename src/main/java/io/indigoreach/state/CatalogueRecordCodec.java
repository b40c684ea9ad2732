package io.indigoreach.state;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The machine types that the cloud offers. */
public final class CatalogueRecordCodec {
    /** The value of the catalogue's record. */
    public static Map<String, Object> writeCatalogue(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : types) {
            list.add(MessagePackFormat.map(
                    "name",
                    type.name(),
                    "cores",
                    type.capacity().cores(),
                    "gpus",
                    type.capacity().gpus(),
                    "ram",
                    type.capacity().ramGb(),
                    "cache",
                    type.cacheGb(),
                    "fetch",
                    type.fetchGbPerS(),
                    "price",
                    type.price(),
                    "spot",
                    type.spotPrice(),
                    "boot",
                    type.boot().ms(),
                    "zones",
                    type.zones()));
        }
        return MessagePackFormat.map("types", list);
    }

    /** The machine types of the catalogue's record. */
    public static List<MachineType> readCatalogue(Fields catalogue) {
        List<MachineType> types = new ArrayList<>();
        for (Fields type : catalogue.children("types")) {
            types.add(new MachineType(
                    type.text("name"),
                    new Demand(type.number("cores"), type.number("gpus"), type.number("ram")),
                    type.number("cache"),
                    type.number("fetch"),
                    type.number("price"),
                    type.number("spot"),
                    new Span(type.wholeNumber("boot")),
                    type.optionalTexts("zones")));
        }
        return types;
    }

    private CatalogueRecordCodec() {}
}
