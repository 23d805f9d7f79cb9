/**
 * Placeholder.
 */
package org.wisteriapost.standin;
