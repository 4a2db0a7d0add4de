package granitefold.rollout;

/**
 * Program and settings that a dispatcher runs. Written as JSON under the names of the components.
 *
 * @param label name shown to operators
 * @param jar path of the program
 * @param operator path of the operator's file, empty for none
 * @param config path of the platform's configuration, empty for the one in the supervisor's settings
 */
public record Version(String label, String jar, String operator, String config) {
}
