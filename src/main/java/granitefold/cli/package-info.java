/** The command line. {@code Serve} alone is on the platform's path; picocli is loaded for everything else only. */
package granitefold.cli;
