/** The command line. When the platform starts a dispatcher, only {@code Serve} is used; picocli is loaded for all other commands only. */
package granitefold.cli;
