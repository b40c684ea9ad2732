package io.indigoreach.scenario;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.EnumDescriptorProto;
import com.google.protobuf.DescriptorProtos.EnumValueDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Type;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TextFormatParseInfoTree;
import com.google.protobuf.TextFormatParseLocation;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.JobKind;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads files in protobuf text format into records. The message's descriptor is made from the record's components, so
 * that a field is declared once, with its meaning, default and range ({@link Setting}). A fault names file, line and
 * field.
 */
public final class TextForm {
    private TextForm() {}

    /** Reads and checks a file. */
    public static <R extends Record> R read(Path file, Class<R> form) throws ConfigException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(file.toString(), text, form);
    }

    public static <R extends Record> R parse(String name, String text, Class<R> form) throws ConfigException {
        Descriptors.Descriptor descriptor = descriptor(form);
        DynamicMessage.Builder message = DynamicMessage.newBuilder(descriptor);
        TextFormatParseInfoTree.Builder places = TextFormatParseInfoTree.builder();
        try {
            TextFormat.Parser.newBuilder()
                    .setParseInfoTreeBuilder(places)
                    .build()
                    .merge(text, message);
        } catch (TextFormat.ParseException e) {
            String what = e.getMessage()
                    .replaceAll("\\s+", " ")
                    .replaceFirst("^\\d+:\\d+: ", "")
                    .replaceFirst("Input contains unknown fields and/or extensions: \\d+:\\d+: ?", "unknown field ")
                    .replace("io.indigoreach.", "");
            throw new ConfigException(name + ":" + e.getLine() + ": " + what);
        }
        return form.cast(build(name, 1, form, message.build(), places.build()));
    }

    /** The fields of a file, a line each, for people. */
    public static List<String> fields(Class<? extends Record> form) {
        List<String> lines = new ArrayList<>();
        describe(form, "", lines);
        return lines;
    }

    private static void describe(Class<?> form, String indent, List<String> lines) {
        for (RecordComponent c : form.getRecordComponents()) {
            Setting setting = c.getAnnotation(Setting.class);
            Class<?> type = element(c);
            String standard = isList(c)
                    ? "any number"
                    : setting.standard().equals(Setting.REQUIRED)
                            ? "needed"
                            : "default " + (setting.standard().isEmpty() ? "none" : setting.standard());
            String choice = type.isEnum() ? "; one of " + String.join(", ", words(type)) : "";
            lines.add(String.format(
                    Locale.ROOT, "%-28s %s (%s%s)", indent + field(c), setting.value(), standard, choice));
            if (type.isRecord()) {
                describe(type, indent + "  ", lines);
            }
        }
    }

    private static Object build(String name, int line, Class<?> form, Message message, TextFormatParseInfoTree places)
            throws ConfigException {
        RecordComponent[] components = form.getRecordComponents();
        Object[] values = new Object[components.length];
        Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            RecordComponent c = components[i];
            types[i] = c.getType();
            FieldDescriptor fd = message.getDescriptorForType().findFieldByName(field(c));
            if (isList(c)) {
                List<Object> list = new ArrayList<>();
                for (int n = 0; n < message.getRepeatedFieldCount(fd); n++) {
                    list.add(value(name, c, message.getRepeatedField(fd, n), places, fd, n));
                }
                values[i] = List.copyOf(list);
            } else if (message.hasField(fd)) {
                values[i] = value(name, c, message.getField(fd), places, fd, 0);
            } else {
                values[i] = standard(name, line, c);
            }
        }
        try {
            Constructor<?> made = form.getDeclaredConstructor(types);
            return made.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new ConfigException(name + ":" + line + ": " + e.getCause().getMessage());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Object value(
            String name, RecordComponent c, Object raw, TextFormatParseInfoTree places, FieldDescriptor fd, int index)
            throws ConfigException {
        TextFormatParseLocation at = places.getLocation(fd, index);
        int line = at.getLine() + 1;
        Class<?> type = element(c);
        if (type.isRecord()) {
            return build(name, line, type, (Message) raw, places.getNestedTree(fd, index));
        }
        if (type.isEnum()) {
            return constant(type, ((Descriptors.EnumValueDescriptor) raw).getName());
        }
        Setting setting = c.getAnnotation(Setting.class);
        if (raw instanceof Number n && !(n.doubleValue() >= setting.least() && n.doubleValue() <= setting.most())) {
            throw new ConfigException(name + ":" + line + ": " + field(c) + ": must be " + plain(setting.least())
                    + " to " + plain(setting.most()));
        }
        return raw;
    }

    private static Object standard(String name, int line, RecordComponent c) throws ConfigException {
        String text = c.getAnnotation(Setting.class).standard();
        Class<?> type = c.getType();
        if (text.equals(Setting.REQUIRED)) {
            throw new ConfigException(name + ":" + line + ": " + field(c) + ": missing");
        }
        if (type.isRecord()) {
            return text.isEmpty() ? null : parse("default of " + field(c), "", type.asSubclass(Record.class));
        }
        return type == String.class
                ? text
                : type == double.class
                        ? (Object) Double.parseDouble(text)
                        : type == int.class
                                ? (Object) Integer.parseInt(text)
                                : type == long.class
                                        ? (Object) Long.parseLong(text)
                                        : type == boolean.class
                                                ? (Object) Boolean.parseBoolean(text)
                                                : constant(type, text);
    }

    private static Descriptors.Descriptor descriptor(Class<?> form) {
        FileDescriptorProto.Builder file =
                FileDescriptorProto.newBuilder().setName("form.proto").setPackage("io.indigoreach");
        Map<Class<?>, String> declared = new LinkedHashMap<>();
        declare(form, file, declared);
        try {
            return Descriptors.FileDescriptor.buildFrom(file.build(), new Descriptors.FileDescriptor[0])
                    .findMessageTypeByName(formName(form));
        } catch (Descriptors.DescriptorValidationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void declare(Class<?> type, FileDescriptorProto.Builder file, Map<Class<?>, String> declared) {
        if (declared.putIfAbsent(type, formName(type)) != null) {
            return;
        }
        if (type.isEnum()) {
            // Values are scoped by their type's siblings, so each enumeration lives in a message of its own.
            EnumDescriptorProto.Builder words = EnumDescriptorProto.newBuilder().setName("Word");
            int n = 0;
            for (String word : words(type)) {
                words.addValue(
                        EnumValueDescriptorProto.newBuilder().setName(word).setNumber(n++));
            }
            file.addMessageType(
                    DescriptorProto.newBuilder().setName(formName(type)).addEnumType(words));
            return;
        }
        DescriptorProto.Builder message = DescriptorProto.newBuilder().setName(formName(type));
        int number = 1;
        for (RecordComponent c : type.getRecordComponents()) {
            Class<?> element = element(c);
            FieldDescriptorProto.Builder fd = FieldDescriptorProto.newBuilder()
                    .setName(field(c))
                    .setNumber(number++)
                    .setLabel(
                            isList(c)
                                    ? FieldDescriptorProto.Label.LABEL_REPEATED
                                    : FieldDescriptorProto.Label.LABEL_OPTIONAL);
            if (element.isRecord() || element.isEnum()) {
                declare(element, file, declared);
                fd.setType(element.isEnum() ? Type.TYPE_ENUM : Type.TYPE_MESSAGE)
                        .setTypeName(".io.indigoreach." + formName(element) + (element.isEnum() ? ".Word" : ""));
            } else {
                fd.setType(
                        element == double.class || element == Double.class
                                ? Type.TYPE_DOUBLE
                                : element == int.class || element == Integer.class
                                        ? Type.TYPE_INT32
                                        : element == long.class
                                                ? Type.TYPE_INT64
                                                : element == boolean.class ? Type.TYPE_BOOL : Type.TYPE_STRING);
            }
            message.addField(fd);
        }
        file.addMessageType(message);
    }

    private static boolean isList(RecordComponent c) {
        return c.getType() == List.class;
    }

    private static Class<?> element(RecordComponent c) {
        return isList(c)
                ? (Class<?>) ((ParameterizedType) c.getGenericType()).getActualTypeArguments()[0]
                : c.getType();
    }

    /** {@code reportS} stands in the file as {@code report_s}. */
    private static String field(RecordComponent c) {
        return c.getName().replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
    }

    private static List<String> words(Class<?> type) {
        List<String> words = new ArrayList<>();
        for (Object constant : type.getEnumConstants()) {
            words.add(((Enum<?>) constant).name().toLowerCase(Locale.ROOT));
        }
        return words;
    }

    private static Object constant(Class<?> type, String word) {
        for (Object constant : type.getEnumConstants()) {
            if (((Enum<?>) constant).name().equalsIgnoreCase(word)) {
                return constant;
            }
        }
        throw new IllegalStateException(word);
    }

    private static String plain(double d) {
        return d == Math.rint(d) ? String.format(Locale.ROOT, "%.0f", d) : Double.toString(d);
    }

    /** What error lines call a form. They keep its name when its class is renamed, as users' scripts may look for it. */
    private static String formName(Class<?> type) {
        return type == JobKind.class ? "Shape" : type.getSimpleName();
    }
}
