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
        List<Object> list = new ArrayList<>(machines.size());
        for (MachineRecord machine : machines) {
            list.add(encodeMachine(machine));
        }
        return MessagePackFormat.map("machines", list);
    }

    private static List<Object> encodeMachine(MachineRecord machine) {
        return List.of(
                machine.id().text(),
                machine.pool().type(),
                machine.pool().zone(),
                machine.pool().spot(),
                machine.rentedMs(),
                machine.knownToExistMs());
    }

    /** Decodes the machines of a page; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    public static List<MachineRecord> readMachines(Fields page) {
        return RecordReader.read(() -> decodeMachines(page));
    }

    private static List<MachineRecord> decodeMachines(Fields page) {
        List<MachineRecord> machines = new ArrayList<>();
        for (List<?> machine : page.lists("machines")) {
            machines.add(new MachineRecord(
                    new MachineId((String) machine.get(0)),
                    new MachinePool((String) machine.get(1), (String) machine.get(2), (Boolean) machine.get(3)),
                    (Long) machine.get(4),
                    (Long) machine.get(5)));
        }
        return machines;
    }

    /** The bytes that a machine takes in its page, including the comma after it. */
    public static int encodedBytes(MachineRecord machine) {
        return JsonSize.of(encodeMachine(machine)) + 1;
    }

    private MachineRecordCodec() {}
}
