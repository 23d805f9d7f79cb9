/**
 * The HTTP side of an entry: what callers and monitoring see.
 */
package org.wisteriapost.entry.caller;
