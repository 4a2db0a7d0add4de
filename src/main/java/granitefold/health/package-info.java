/**
 * Which peers look dead, from probes where they are allowed and from the outcomes of real tries. Pure: (state, event,
 * now) to decisions; chance comes from a seed. The module hears of it only through the list of peers.
 */
package granitefold.health;
