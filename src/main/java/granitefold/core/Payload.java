package granitefold.core;

/** What an adapter needs to forward a request to a worker in its own protocol; opaque to the core. */
public interface Payload { }
