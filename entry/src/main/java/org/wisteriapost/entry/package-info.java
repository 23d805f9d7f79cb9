/**
 * Placeholder.
 */
package org.wisteriapost.entry;
