/**
 * Decides which chunk of new weights to fetch next and from where, without a coordinator.
 * Chunks are numbered consecutively through all files of a fetch.
 */
package org.wisteriapost.policy.transfer;
