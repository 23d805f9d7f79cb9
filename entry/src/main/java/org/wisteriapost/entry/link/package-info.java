/**
 * Links from an entry to agents and to other entries.
 */
package org.wisteriapost.entry.link;
