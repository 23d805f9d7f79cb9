/**
 * Operators' keys.
 */
package org.wisteriapost.operator.keys;
