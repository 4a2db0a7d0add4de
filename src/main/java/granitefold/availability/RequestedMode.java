package granitefold.availability;

/** The mode that an operator has requested; it applies until another one is requested. */
public enum RequestedMode { READY, DRAIN, MAINT }
