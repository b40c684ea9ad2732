package io.indigoreach.config;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the operators' settings in protobuf text format. The message descriptor is generated from {@link Settings.Setting},
 * so that each setting is declared in one place. This class is loaded only if a settings file is used.
 */
public final class SettingsFile {
    private SettingsFile() {}

    /** Reads the file; throws {@link ConfigException} with a one-line message if it is invalid. */
    public static Settings read(Path file) throws ConfigException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(file.toString(), text);
    }

    /** Parses settings; {@code fileName} is used in error messages. */
    public static Settings parse(String fileName, String text) throws ConfigException {
        Settings settings = Settings.defaults();
        try {
            Descriptors.Descriptor descriptor = descriptor();
            DynamicMessage.Builder message = DynamicMessage.newBuilder(descriptor);
            TextFormat.merge(text, message);
            for (Settings.Setting setting : Settings.Setting.values()) {
                Descriptors.FieldDescriptor field = descriptor.findFieldByName(setting.fieldName());
                if (message.hasField(field)) {
                    settings.set(setting, (Double) message.getField(field));
                }
            }
            return settings;
        } catch (TextFormat.ParseException e) {
            throw new ConfigException(fileName + ": " + e.getMessage().replaceAll("\\s+", " "));
        } catch (ConfigException e) {
            throw new ConfigException(fileName + ": " + e.getMessage());
        } catch (Descriptors.DescriptorValidationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Descriptors.Descriptor descriptor() throws Descriptors.DescriptorValidationException {
        DescriptorProto.Builder message = DescriptorProto.newBuilder().setName("Settings");
        for (Settings.Setting setting : Settings.Setting.values()) {
            message.addField(FieldDescriptorProto.newBuilder()
                    .setName(setting.fieldName())
                    .setNumber(setting.ordinal() + 1)
                    .setType(FieldDescriptorProto.Type.TYPE_DOUBLE)
                    .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL));
        }
        FileDescriptorProto file = FileDescriptorProto.newBuilder()
                .setName("settings.proto")
                .setPackage("io.indigoreach")
                .addMessageType(message)
                .build();
        return Descriptors.FileDescriptor.buildFrom(file, new Descriptors.FileDescriptor[0])
                .findMessageTypeByName("Settings");
    }
}
