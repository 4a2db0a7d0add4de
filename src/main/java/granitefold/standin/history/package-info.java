/**
 * The history of a test run, recorded outside the dispatchers by clients, workers, relays and the test bed, and a checker of
 * rules over it. It does not rely on data from the dispatchers, except for errors that their logs report.
 */
package granitefold.standin.history;
