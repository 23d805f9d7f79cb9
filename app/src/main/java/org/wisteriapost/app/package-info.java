/**
 * The command-line entry point of the binary.
 */
package org.wisteriapost.app;
