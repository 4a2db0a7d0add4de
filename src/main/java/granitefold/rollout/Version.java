package granitefold.rollout;

/**
 * What a dispatcher runs.
 *
 * @param label how people call it
 * @param jar the program, by its path
 * @param operator the operators' file, or empty for none
 * @param config the platform's configuration, or empty for the one that the keeper was set up with
 */
public record Version(String label, String jar, String operator, String config) {
}
