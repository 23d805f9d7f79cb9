/**
 * The entry's event loop: its events, its state and the I/O around it.
 */
package org.wisteriapost.entry.process;
