/**
 * Detects workers that are down, from probes where they are allowed and from the outcomes of real attempts. Pure: from
 * state, event and time to decisions; randomness comes from a seed. The dispatch policy learns of the results only
 * through the list of workers.
 */
package granitefold.health;
