package io.indigoreach.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The fields of a message, read with checks. An absent field and null are the same; unknown fields are ignored. Reading a
 * required field that is missing, or any field of another type, throws {@link WireException}.
 */
public record Fields(Map<String, Object> map) {
    /** Below this every whole number has an exact floating-point form. */
    private static final double MAX_EXACT_DOUBLE = 9e15;

    /** Whether the field is there and not null. */
    public boolean has(String name) {
        return map.get(name) != null;
    }

    /** A required text. */
    public String text(String name) {
        String value = optionalText(name);
        if (value == null) {
            throw missing(name);
        }
        return value;
    }

    /** A text, or null if absent. */
    public String optionalText(String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof String)) {
            throw invalid(name);
        }
        return (String) value;
    }

    /** A required whole number; a floating-point number without a fraction counts as one. */
    public long wholeNumber(String name) {
        Object value = map.get(name);
        if (value == null) {
            throw missing(name);
        }
        if (value instanceof Long integer) {
            return integer;
        }
        if (value instanceof Double number && number == Math.rint(number) && Math.abs(number) < MAX_EXACT_DOUBLE) {
            return number.longValue();
        }
        throw invalid(name);
    }

    /** A whole number, or {@code absent}. */
    public long wholeNumber(String name, long defaultValue) {
        return has(name) ? wholeNumber(name) : defaultValue;
    }

    /** A required finite number. */
    public double number(String name) {
        Object value = map.get(name);
        if (value == null) {
            throw missing(name);
        }
        if (!(value instanceof Number number) || !Double.isFinite(number.doubleValue())) {
            throw invalid(name);
        }
        return number.doubleValue();
    }

    /** A finite number, or {@code absent}. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** A boolean, or {@code absent}. */
    public boolean flag(String name, boolean defaultValue) {
        Object value = map.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Boolean flag)) {
            throw invalid(name);
        }
        return flag;
    }

    /** A required map. */
    public Fields child(String name) {
        if (!has(name)) {
            throw missing(name);
        }
        return new Fields(MessagePackFormat.asMap(map.get(name)));
    }

    /** A list of maps; absent is empty. */
    public List<Fields> children(String name) {
        List<Fields> values = new ArrayList<>();
        for (Object element : list(name)) {
            values.add(new Fields(MessagePackFormat.asMap(element)));
        }
        return values;
    }

    /** A list of texts, or null if absent. */
    public List<String> optionalTexts(String name) {
        if (!has(name)) {
            return null;
        }
        List<String> values = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof String text)) {
                throw invalid(name);
            }
            values.add(text);
        }
        return values;
    }

    /** A list of lists; absent is empty. */
    public List<List<?>> lists(String name) {
        List<List<?>> values = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof List<?> inner)) {
                throw invalid(name);
            }
            values.add(inner);
        }
        return values;
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

    /** The failure for a field with an invalid value. */
    public static WireException invalid(String name) {
        return new WireException("invalid field " + name);
    }

    private static WireException missing(String name) {
        return new WireException("missing field " + name);
    }
}
