/**
 * An entry that sends requests to runners itself: the site's store tells it routes,
 * runners and entries, agents tell it what weights their engines hold.
 */
package org.wisteriapost.entry.direct;
