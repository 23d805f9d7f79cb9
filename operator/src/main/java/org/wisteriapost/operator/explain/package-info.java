/**
 * The command {@code explain}: a request's story from the logs of several processes.
 */
package org.wisteriapost.operator.explain;
