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

/** Encodes and decodes a leader's requests to the cloud that are in progress. */
public final class IntentRecordCodec {
    /** The value of a record: rent requests and machines to return, as lists because there may be a hundred of them. */
    public static Map<String, Object> writeIntents(Intents.Content page) {
        List<Object> rents = new ArrayList<>();
        page.rentals().forEach(rent -> rents.add(encodeRent(rent)));
        return MessagePackFormat.map(
                "rents",
                rents,
                "condemned",
                page.returns().stream().map(MachineId::text).toList());
    }

    private static List<Object> encodeRent(Intents.Rental rent) {
        return List.of(
                rent.name(),
                rent.pool().type(),
                rent.pool().zone(),
                rent.pool().spot(),
                (long) rent.count(),
                rent.requestedAtMs());
    }

    /** The bytes that a rent request takes in its record, including the comma after it. */
    public static int encodedBytes(Intents.Rental rent) {
        return JsonSize.of(encodeRent(rent)) + 1;
    }

    /** The bytes that a machine to return takes in its record, including the comma after it. */
    public static int encodedBytes(MachineId condemned) {
        return JsonSize.of(condemned.text()) + 1;
    }

    /** Decodes the requests of a record. */
    public static Intents.Content readIntents(Fields page) {
        List<Intents.Rental> rents = new ArrayList<>();
        for (List<?> rent : page.lists("rents")) {
            rents.add(new Intents.Rental(
                    (String) rent.get(0),
                    new MachinePool((String) rent.get(1), (String) rent.get(2), (Boolean) rent.get(3)),
                    ((Long) rent.get(4)).intValue(),
                    (Long) rent.get(5)));
        }
        List<String> names = page.optionalTexts("condemned");
        return new Intents.Content(
                rents,
                names == null ? List.of() : names.stream().map(MachineId::new).toList());
    }

    private IntentRecordCodec() {}
}
