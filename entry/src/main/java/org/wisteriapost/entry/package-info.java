/**
 * The entry role: its command, its settings and how its parts are put together.
 */
package org.wisteriapost.entry;
