package granitefold.availability;

/** The process's own phase, as far as balancers are concerned. */
public enum ProcessPhase { STARTING, SERVING, SHUTTING_DOWN, SHUT_DOWN }
