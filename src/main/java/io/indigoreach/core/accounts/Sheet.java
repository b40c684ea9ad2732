package io.indigoreach.core.accounts;

import io.indigoreach.core.model.MachineId;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** A page of the accounts: open intervals, and the sums of all that was ever on it. One write moves money between the two. */
public record Sheet(Map<MachineId, Line> lines, Map<Account, Double> sums) {
    public static final Sheet EMPTY = new Sheet(Map.of(), Map.of());

    public Sheet {
        lines = Collections.unmodifiableMap(new LinkedHashMap<>(lines));
        sums = Collections.unmodifiableMap(new TreeMap<>(sums));
    }

    public double total() {
        return sums.values().stream().mapToDouble(d -> d).sum();
    }
}
