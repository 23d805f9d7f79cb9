/**
 * Placeholder.
 */
package org.wisteriapost.operator;
