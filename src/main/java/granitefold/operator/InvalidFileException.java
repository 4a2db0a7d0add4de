package granitefold.operator;

import java.util.List;

/** A configuration file is invalid; lists all its problems, each with file, line and key. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> problems;

    public InvalidFileException(List<String> problems) {
        super(String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    public List<String> problems() {
        return problems;
    }
}
