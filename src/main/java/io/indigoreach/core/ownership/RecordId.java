package io.indigoreach.core.ownership;

import java.util.regex.Pattern;

/**
 * Names what may be billed once: co-operative, farm and delivery, or whatever else is put between the slashes. What stands
 * before the first slash is its group: records of a group lie on pages together, so what is claimed together should share it.
 */
public record RecordId(String text) implements Comparable<RecordId> {
    private static final int LONGEST = 100;
    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._:-]+(/[A-Za-z0-9._:-]+)*");

    public RecordId {
        if (!isValid(text)) {
            throw new IllegalArgumentException("not a record's id: " + text);
        }
    }

    public static boolean isValid(String text) {
        return text != null && text.length() <= LONGEST && FORM.matcher(text).matches();
    }

    public String group() {
        int slash = text.indexOf('/');
        return slash < 0 ? text : text.substring(0, slash);
    }

    @Override
    public int compareTo(RecordId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
