/**
 * The HTTP interface of an entry towards callers.
 */
package org.wisteriapost.entry.caller;
