package io.indigoreach.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What happened, in the order in which it was seen. Any thread may add to it. */
public class History {
    private final List<Event> events = new ArrayList<>();
    private final Map<String, Long> tokens = new HashMap<>();

    public synchronized void add(Event event) {
        if (event instanceof Event.TokenSeen seen) {
            // Each answer carries one; only a node's change of token tells anything.
            Long before = tokens.put(seen.node(), seen.token().value());
            if (before != null && before == seen.token().value()) {
                return;
            }
        } else if (event instanceof Event.Process process) {
            tokens.remove(process.node());
        }
        events.add(event);
    }

    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** Keeps nothing, for a service that goes on and on. */
    public static final class Discarded extends History {
        @Override
        public synchronized void add(Event event) {}
    }
}
