/**
 * The entry's events and the state that its one event loop applies them to.
 */
package org.wisteriapost.entry.process;
