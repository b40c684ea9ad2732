package io.indigoreach.state;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Encodes and decodes pages of rented machines. */
public final class MachineRecordCodec {
    /** The value of a page; each machine is a list without field names, because a page holds hundreds of them. */
    public static Map<String, Object> writeMachines(Collection<MachineRecord> machines) {
        List<Object> lines = new ArrayList<>(machines.size());
        for (MachineRecord machine : machines) {
            lines.add(line(machine));
        }
        return MessagePackFormat.map("machines", lines);
    }

    private static List<Object> line(MachineRecord machine) {
        return List.of(
                machine.id().text(),
                machine.pool().type(),
                machine.pool().zone(),
                machine.pool().spot(),
                machine.rentedMs(),
                machine.existedMs());
    }

    /** Decodes the machines of a page; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    public static List<MachineRecord> readMachines(Fields page) {
        return RecordReader.read(() -> machines(page));
    }

    private static List<MachineRecord> machines(Fields page) {
        List<MachineRecord> out = new ArrayList<>();
        for (List<?> line : page.lists("machines")) {
            out.add(new MachineRecord(
                    new MachineId((String) line.get(0)),
                    new MachinePool((String) line.get(1), (String) line.get(2), (Boolean) line.get(3)),
                    (Long) line.get(4),
                    (Long) line.get(5)));
        }
        return out;
    }

    /** The bytes that a machine takes in its page, including the comma after it. */
    public static int bytes(MachineRecord machine) {
        return JsonSize.of(line(machine)) + 1;
    }

    private MachineRecordCodec() {}
}
