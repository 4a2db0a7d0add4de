/**
 * The world round the dispatchers: cocineros that are slow, cold, full, fall over or hang, and a discovery with an agent
 * for each dispatcher. What a cocinero does with jobs is a pure model; the server round it moves bytes.
 */
package granitefold.standin.world;
