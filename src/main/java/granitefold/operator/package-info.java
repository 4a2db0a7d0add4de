/**
 * The operator's file: HOCON, read once into typed, checked records. {@code OperatorSettings} alone is on the path of the
 * platform's start, where there is no such file; the reader and its library are loaded with a file only.
 */
package granitefold.operator;
