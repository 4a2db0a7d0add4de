package granitefold.operator;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigIncluder;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import granitefold.wire.InvalidInputException;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Reads a HOCON file into validated values and reports all its problems together, with file, line and key. */
public final class HoconFile {
    /** Limit of the file length; a longer file is taken for a mistake. */
    private static final long MAX_LENGTH_BYTES = 256 * 1024;
    /** Limit of the nesting of brackets; deeper nesting could overflow the parser's stack. */
    private static final int MAX_DEPTH = 32;

    /** The value read from a file, and every known key with its effective value. */
    public record Read<T>(T value, Map<String, String> effective) { }

    private HoconFile() { }

    /** Reads a file; {@code reader} reads every allowed key from the section that stands for the whole file. */
    public static <T> Read<T> read(Path file, Function<ConfigSection, T> reader) throws InvalidFileException {
        try {
            if (Files.size(file) > MAX_LENGTH_BYTES) {
                throw new InvalidFileException(List.of(file + ": longer than " + MAX_LENGTH_BYTES + " bytes"));
            }
            return read(file.toString(), Files.readString(file), reader);
        } catch (CharacterCodingException e) {
            throw new InvalidFileException(List.of(file + ": is not UTF-8"));
        } catch (IOException e) {
            throw new InvalidFileException(List.of(file + ": cannot be read: " + e));
        }
    }

    /** Reads a text; its problems are reported under {@code name}. */
    public static <T> Read<T> read(String name, String text, Function<ConfigSection, T> reader) throws InvalidFileException {
        ConfigSection.Diagnostics diagnostics = new ConfigSection.Diagnostics(name);
        T value = null;
        try {
            if (isNestedTooDeep(text)) {
                throw new InvalidFileException(List.of(name + ": nested deeper than " + MAX_DEPTH));
            }
            // An include could read other files or URLs that nobody has reviewed.
            Config all = ConfigFactory.parseString(text, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF)
                    .setOriginDescription(name).setIncluder(new NoIncludes()));
            if (!all.isResolved()) {
                // A few lines of nested substitutions can expand to a text that exhausts the memory.
                throw new InvalidFileException(List.of(name + ": ${...} is not taken: each key has its own value"));
            }
            value = reader.apply(new ConfigSection("", all, diagnostics));
        } catch (ConfigException | InvalidInputException e) {
            ConfigException configException = e instanceof ConfigException ce ? ce : null;
            diagnostics.add(configException == null || configException.origin() == null ? 0 : configException.origin().lineNumber(),
                    withoutPosition(e.getMessage(), name));
        }
        if (!diagnostics.problems().isEmpty()) {
            throw new InvalidFileException(diagnostics.problems());
        }
        return new Read<>(value, diagnostics.effective);
    }

    private static final class NoIncludes implements ConfigIncluder {
        @Override
        public ConfigIncluder withFallback(ConfigIncluder fallback) {
            return this;
        }

        @Override
        public com.typesafe.config.ConfigObject include(com.typesafe.config.ConfigIncludeContext context, String what) {
            throw new InvalidInputException("include: " + what + ": one file holds all settings");
        }
    }

    private static boolean isNestedTooDeep(String text) {
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
            if (depth > MAX_DEPTH) {
                return true;
            }
        }
        return false;
    }

    /** Returns the library's message without the position, which is reported separately. */
    private static String withoutPosition(String message, String name) {
        String stripped = message.lines().findFirst().orElse("").strip();
        int nameAt = stripped.indexOf(name + ": ");
        stripped = nameAt < 0 ? stripped : stripped.substring(nameAt + name.length() + 2);
        return stripped.replaceFirst("^\\d+: ", "");
    }
}
