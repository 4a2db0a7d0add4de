/**
 * The file that what was learned is kept in: its format, its folder, and the thread that writes. Versioned, checked, never
 * half written. What ages and how is {@code granitefold.recovery}'s.
 */
package granitefold.state;
