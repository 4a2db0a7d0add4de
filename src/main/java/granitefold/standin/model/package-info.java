/**
 * A simulation of a whole fleet in virtual time: dispatchers that run the production policy, workers with slots and queues, and
 * clients that retry. It needs no processes and no sockets, so that hundreds of runs take a minute.
 */
package granitefold.standin.model;
