/**
 * Sockets and the clock, on Jetty's selectors, end points and HTTP parser. Input is reported to the reducer as events, and
 * the effects that it returns are performed. Unless stated otherwise, all code here, the reducer included, runs on one selector thread.
 */
package granitefold.net;
