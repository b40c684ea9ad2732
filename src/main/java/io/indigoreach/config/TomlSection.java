package io.indigoreach.config;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.UnmodifiableConfig;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A table of a TOML file with type-checked access. A {@link ConfigException} names the file and the invalid field.
 *
 * @param file the file name for error messages
 * @param path the path of the table in the file; empty for the root
 */
record TomlSection(String file, String path, UnmodifiableConfig config) {
    private static final Logger LOG = LoggerFactory.getLogger(TomlSection.class);

    /** Creates the exception for an invalid field. */
    ConfigException invalidField(String field, String problem) {
        return new ConfigException(file + ": " + (path.isEmpty() ? "" : path + ".") + field + ": " + problem);
    }

    /** Returns a required table. */
    TomlSection section(String field) throws ConfigException {
        Object value = config.get(List.of(field));
        if (!(value instanceof UnmodifiableConfig table)) {
            throw invalidField(field, value == null ? "missing" : "not a table");
        }
        return new TomlSection(file, path.isEmpty() ? field : path + "." + field, table);
    }

    /** Returns an optional table; an empty one if it is absent. */
    TomlSection optionalSection(String field) throws ConfigException {
        return config.get(List.of(field)) == null ? new TomlSection(file, field, Config.inMemory()) : section(field);
    }

    /** Returns a list of tables; an empty one if it is absent. */
    List<TomlSection> sections(String field) throws ConfigException {
        Object value = config.get(List.of(field));
        List<TomlSection> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!(value instanceof List<?> list)) {
            throw invalidField(field, "not a list of tables");
        }
        for (Object element : list) {
            if (!(element instanceof UnmodifiableConfig table)) {
                throw invalidField(field, "not a list of tables");
            }
            tables.add(new TomlSection(
                    file, (path.isEmpty() ? "" : path + ".") + field + "[" + tables.size() + "]", table));
        }
        return tables;
    }

    /** Returns a required, nonempty string. */
    String text(String field) throws ConfigException {
        Object value = config.get(List.of(field));
        if (!(value instanceof String text) || text.isEmpty()) {
            throw invalidField(field, value == null ? "missing" : "not a text");
        }
        return text;
    }

    /** Returns a required list of strings. */
    List<String> texts(String field) throws ConfigException {
        Object value = config.get(List.of(field));
        if (!(value instanceof List<?> list) || !list.stream().allMatch(String.class::isInstance)) {
            throw invalidField(field, value == null ? "missing" : "not a list of texts");
        }
        return list.stream().map(String.class::cast).toList();
    }

    /** Returns a required address with a port. */
    Endpoint endpoint(String field) throws ConfigException {
        try {
            return Endpoint.parse(text(field));
        } catch (IllegalArgumentException e) {
            throw invalidField(field, "not an address with a port");
        }
    }

    /** Returns a nonnegative number, or {@code defaultValue} if there is none. */
    double amount(String field, double defaultValue) throws ConfigException {
        Object value = config.get(List.of(field));
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number) || !Double.isFinite(number.doubleValue()) || number.doubleValue() < 0) {
            throw invalidField(field, "not a number of at least 0");
        }
        return number.doubleValue();
    }

    /** Returns a required positive number. */
    double positive(String field) throws ConfigException {
        double value = amount(field, -1);
        if (value <= 0) {
            throw invalidField(field, value < 0 ? "missing" : "must be above 0");
        }
        return value;
    }

    /** Returns a positive number, or {@code defaultValue} if there is none. */
    double positiveOr(String field, double defaultValue) throws ConfigException {
        return config.get(List.of(field)) == null ? defaultValue : positive(field);
    }

    /** Logs a warning for each unknown field. Unknown fields are valid, because newer platform versions may add fields. */
    void warnOfUnknownFields(Set<String> known) {
        config.valueMap().keySet().stream()
                .filter(field -> !known.contains(field))
                .forEach(field -> LOG.warn("unknown setting ignored file={} field={}.{}", file, path, field));
    }

    /** Returns a required positive duration, which the file has in seconds. */
    Span span(String field) throws ConfigException {
        return Span.seconds(positive(field));
    }
}
