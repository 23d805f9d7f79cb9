/**
 * Placeholder.
 */
package org.wisteriapost.agent;
