/**
 * How processes speak: the wire between our own, HTTP to the rest, and one small
 * interface for each outside system.
 */
package org.wisteriapost.protocol;
