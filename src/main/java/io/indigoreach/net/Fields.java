package io.indigoreach.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The fields of a message, with type-checked access. An absent field is equivalent to null; unknown fields are ignored. Reading a
 * missing required field, or a field of another type, throws {@link WireException}.
 */
public record Fields(Map<String, Object> map) {
    /** Below this limit, a {@code double} represents every integer exactly. */
    private static final double MAX_EXACT_DOUBLE = 9e15;

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        return map.get(name) != null;
    }

    /** Returns a required string. */
    public String text(String name) {
        String value = optionalText(name);
        if (value == null) {
            throw missing(name);
        }
        return value;
    }

    /** Returns a string, or null if it is absent. */
    public String optionalText(String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof String)) {
            throw invalid(name);
        }
        return (String) value;
    }

    /** Returns a required integer; a floating-point number without a fraction is accepted. */
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

    /** Returns an integer, or {@code defaultValue} if there is none. */
    public long wholeNumber(String name, long defaultValue) {
        return has(name) ? wholeNumber(name) : defaultValue;
    }

    /** Returns a required finite number. */
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

    /** Returns a finite number, or {@code defaultValue} if there is none. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** Returns a boolean, or {@code defaultValue} if there is none. */
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

    /** Returns a required map. */
    public Fields child(String name) {
        if (!has(name)) {
            throw missing(name);
        }
        return new Fields(MessagePackFormat.asMap(map.get(name)));
    }

    /** Returns a list of maps; an empty one if it is absent. */
    public List<Fields> children(String name) {
        List<Fields> values = new ArrayList<>();
        for (Object element : list(name)) {
            values.add(new Fields(MessagePackFormat.asMap(element)));
        }
        return values;
    }

    /** Returns a list of strings, or null if it is absent. */
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

    /** Returns a list of lists; an empty one if it is absent. */
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

    /** Creates the exception for a field with an invalid value. */
    public static WireException invalid(String name) {
        return new WireException("invalid field " + name);
    }

    private static WireException missing(String name) {
        return new WireException("missing field " + name);
    }
}
