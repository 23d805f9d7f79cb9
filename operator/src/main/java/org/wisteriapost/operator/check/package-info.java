/**
 * What {@code bundle lint} looks for, one check a file; each registers itself.
 */
package org.wisteriapost.operator.check;
