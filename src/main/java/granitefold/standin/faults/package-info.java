/**
 * Faults below the program: system calls that fail, are short or are delayed, and a wall clock that is stepped. A small C library
 * is preloaded into the process; a control file that both sides map tells it which faults to inject.
 */
package granitefold.standin.faults;
