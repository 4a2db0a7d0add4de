package granitefold.standin.model;

/**
 * The parameters of one simulated fleet.
 *
 * @param seed the seed of all random numbers
 * @param dispatchers number of dispatchers
 * @param burst request rate in the burst, as a multiple of the rate before
 * @param load request rate before the burst, as a share of the capacity of the workers
 * @param gossip whether dispatchers may send messages to their siblings
 */
record FleetScenario(long seed, int dispatchers, double burst, double load, boolean gossip) { }
