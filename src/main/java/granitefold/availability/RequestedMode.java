package granitefold.availability;

/** What an operator has asked for; it stands until another wish. */
public enum RequestedMode { READY, DRAIN, MAINT }
