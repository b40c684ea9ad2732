package io.indigoreach.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A message's fields, read with checks. Absent and null are the same; unknown fields are never looked at. */
public record Fields(Map<String, Object> map) {
    public boolean has(String name) {
        return map.get(name) != null;
    }

    public String text(String name) {
        String value = optionalText(name);
        if (value == null) {
            throw missing(name);
        }
        return value;
    }

    public String optionalText(String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof String)) {
            throw invalid(name);
        }
        return (String) value;
    }

    public long whole(String name) {
        Object value = map.get(name);
        if (value == null) {
            throw missing(name);
        }
        if (value instanceof Long n) {
            return n;
        }
        if (value instanceof Double d && d == Math.rint(d) && Math.abs(d) < 9e15) {
            return d.longValue();
        }
        throw invalid(name);
    }

    public long whole(String name, long absent) {
        return has(name) ? whole(name) : absent;
    }

    /** A finite number. */
    public double number(String name) {
        Object value = map.get(name);
        if (value == null) {
            throw missing(name);
        }
        if (!(value instanceof Number n) || !Double.isFinite(n.doubleValue())) {
            throw invalid(name);
        }
        return n.doubleValue();
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    public boolean flag(String name, boolean absent) {
        Object value = map.get(name);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Boolean b)) {
            throw invalid(name);
        }
        return b;
    }

    public Fields child(String name) {
        if (!has(name)) {
            throw missing(name);
        }
        return new Fields(MessagePackFormat.asMap(map.get(name)));
    }

    /** A list of maps; absent is empty. */
    public List<Fields> children(String name) {
        List<Fields> out = new ArrayList<>();
        for (Object o : list(name)) {
            out.add(new Fields(MessagePackFormat.asMap(o)));
        }
        return out;
    }

    /** A list of texts, or null if absent. */
    public List<String> optionalTexts(String name) {
        if (!has(name)) {
            return null;
        }
        List<String> out = new ArrayList<>();
        for (Object o : list(name)) {
            if (!(o instanceof String s)) {
                throw invalid(name);
            }
            out.add(s);
        }
        return out;
    }

    /** A list of lists; absent is empty. */
    public List<List<?>> lists(String name) {
        List<List<?>> out = new ArrayList<>();
        for (Object o : list(name)) {
            if (!(o instanceof List<?> inner)) {
                throw invalid(name);
            }
            out.add(inner);
        }
        return out;
    }

    private List<?> list(String name) {
        Object value = map.get(name);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw invalid(name);
        }
        return list;
    }

    public static WireException invalid(String name) {
        return new WireException("invalid field " + name);
    }

    private static WireException missing(String name) {
        return new WireException("missing field " + name);
    }
}
