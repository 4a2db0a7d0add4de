/** Logging: every event and its fields are declared once, in {@code LogEvent}. */
package granitefold.logging;
