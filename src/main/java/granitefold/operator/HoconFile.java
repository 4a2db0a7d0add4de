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

/** Reads a file of ours in HOCON into checked values; whatever is wrong with it is told at once, with file, line and key. */
public final class HoconFile {
    /** A longer file is a mistake. */
    private static final long LENGTH_MOST = 256 * 1024;
    /** Brackets nested deeper than this are one too, and would use up the parser's stack. */
    private static final int DEPTH_MOST = 32;

    /** A file that was read: what it says, and every key with the value that holds. */
    public record Read<T>(T value, Map<String, String> effective) { }

    private HoconFile() { }

    /** Reads a file; {@code reader} asks the whole file's section for all that it may hold. */
    public static <T> Read<T> read(Path file, Function<ConfigSection, T> reader) throws InvalidFileException {
        try {
            if (Files.size(file) > LENGTH_MOST) {
                throw new InvalidFileException(List.of(file + ": longer than " + LENGTH_MOST + " bytes"));
            }
            return read(file.toString(), Files.readString(file), reader);
        } catch (CharacterCodingException e) {
            throw new InvalidFileException(List.of(file + ": is not UTF-8"));
        } catch (IOException e) {
            throw new InvalidFileException(List.of(file + ": cannot be read: " + e));
        }
    }

    /** Reads a text; {@code name} is what its problems are told by. */
    public static <T> Read<T> read(String name, String text, Function<ConfigSection, T> reader) throws InvalidFileException {
        ConfigSection.Notes notes = new ConfigSection.Notes(name);
        T value = null;
        try {
            if (deep(text)) {
                throw new InvalidFileException(List.of(name + ": nested deeper than " + DEPTH_MOST));
            }
            // an include would read other files, or addresses, that nobody has checked
            Config all = ConfigFactory.parseString(text, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF)
                    .setOriginDescription(name).setIncluder(new NoIncludes()));
            if (!all.isResolved()) {
                // a few lines of them can stand for a text that fills the memory
                throw new InvalidFileException(List.of(name + ": ${...} is not taken: each key has its own value"));
            }
            value = reader.apply(new ConfigSection("", all, notes));
        } catch (ConfigException | InvalidInputException e) {
            ConfigException c = e instanceof ConfigException ce ? ce : null;
            notes.add(c == null || c.origin() == null ? 0 : c.origin().lineNumber(), plain(e.getMessage(), name));
        }
        if (!notes.problems().isEmpty()) {
            throw new InvalidFileException(notes.problems());
        }
        return new Read<>(value, notes.effective);
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

    private static boolean deep(String text) {
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
            if (depth > DEPTH_MOST) {
                return true;
            }
        }
        return false;
    }

    /** The library's words, without the place, which is told before them. */
    private static String plain(String message, String name) {
        String text = message.lines().findFirst().orElse("").strip();
        int at = text.indexOf(name + ": ");
        text = at < 0 ? text : text.substring(at + name.length() + 2);
        return text.replaceFirst("^\\d+: ", "");
    }
}
