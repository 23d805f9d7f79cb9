/**
 * Command-line interface of the binary.
 */
package org.wisteriapost.kernel.command;
