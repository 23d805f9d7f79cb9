/**
 * Checks of {@code bundle lint}, one per class.
 */
package org.wisteriapost.operator.check;
