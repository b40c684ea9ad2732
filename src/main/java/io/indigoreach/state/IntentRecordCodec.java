package io.indigoreach.state;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A leader's requests to the cloud in progress. */
public final class IntentRecordCodec {
    /** Requests to rent and machines to be returned; lists, as there may be a hundred. */
    public static Map<String, Object> writeIntents(Intents.Content page) {
        List<Object> rents = new ArrayList<>();
        page.rentals().forEach(rent -> rents.add(line(rent)));
        return MessagePackFormat.map(
                "rents",
                rents,
                "condemned",
                page.returns().stream().map(MachineId::text).toList());
    }

    private static List<Object> line(Intents.Rental rent) {
        return List.of(
                rent.name(),
                rent.pool().type(),
                rent.pool().zone(),
                rent.pool().spot(),
                (long) rent.count(),
                rent.requestedAtMs());
    }

    /** What a request to rent takes of its record, with the comma after it. */
    public static int bytes(Intents.Rental rent) {
        return JsonSize.of(line(rent)) + 1;
    }

    /** What a machine to be returned takes of its record, with the comma after it. */
    public static int bytes(MachineId condemned) {
        return JsonSize.of(condemned.text()) + 1;
    }

    /** The requests of a record. */
    public static Intents.Content readIntents(Fields page) {
        List<Intents.Rental> rents = new ArrayList<>();
        for (List<?> line : page.lists("rents")) {
            rents.add(new Intents.Rental(
                    (String) line.get(0),
                    new MachinePool((String) line.get(1), (String) line.get(2), (Boolean) line.get(3)),
                    ((Long) line.get(4)).intValue(),
                    (Long) line.get(5)));
        }
        List<String> names = page.optionalTexts("condemned");
        return new Intents.Content(
                rents,
                names == null ? List.of() : names.stream().map(MachineId::new).toList());
    }

    private IntentRecordCodec() {}
}
