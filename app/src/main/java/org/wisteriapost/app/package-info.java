/**
 * Placeholder.
 */
package org.wisteriapost.app;
