/**
 * An entry that dispatches requests directly to runners. It reads routes, runners and
 * entries from the site's store, and agents report which weights their engines hold.
 */
package org.wisteriapost.entry.direct;
