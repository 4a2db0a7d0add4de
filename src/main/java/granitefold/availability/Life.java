package granitefold.availability;

/** The process's own phase, as far as balancers are concerned. */
public enum Life { STARTING, SERVING, ENDING, ENDED }
