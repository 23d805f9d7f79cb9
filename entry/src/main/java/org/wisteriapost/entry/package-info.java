/**
 * The entry role: its command and its settings.
 */
package org.wisteriapost.entry;
