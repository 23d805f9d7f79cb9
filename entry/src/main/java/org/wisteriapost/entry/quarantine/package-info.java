/**
 * Exchange of suspect requests between entries.
 */
package org.wisteriapost.entry.quarantine;
