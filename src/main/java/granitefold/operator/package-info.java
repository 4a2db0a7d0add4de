/**
 * The operator's file: HOCON, read once into typed, validated records. Where the platform starts the process there is no
 * such file, and only {@code OperatorSettings} is loaded; the reader and its library are loaded only if there is one.
 */
package granitefold.operator;
