package granitefold.availability;

/** The phase of the dispatcher process, in the detail that balancers need. */
public enum ProcessPhase { STARTING, SERVING, SHUTTING_DOWN, SHUT_DOWN }
