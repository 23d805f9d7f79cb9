/**
 * The command {@code explain}, which traces an attempt through the logs of several
 * processes.
 */
package org.wisteriapost.operator.explain;
